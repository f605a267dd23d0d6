package org.papayawalk.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Collects the faults of settings, so that all of them are reported at once. Not thread-safe. */
public final class SettingsValidator {
    /** IP number in either form and a port. */
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

    /** Highest port. */
    private static final int MAX_PORT = 65_535;

    /** Highest number in an IPv4 address. */
    private static final int MAX_OCTET = 255;

    /** Faults found so far. */
    private final List<String> faults = new ArrayList<>();

    /**
     * Checks that a setting is an IP number and a port.
     *
     * @param flag flag of the setting
     * @param value its value, may be null
     * @return this collection
     */
    public SettingsValidator address(String flag, String value) {
        return require(isAddress(value), flag, value, "is not an IP number and a port");
    }

    /**
     * Checks that a setting is an id.
     *
     * @param flag flag of the setting
     * @param value its value, may be null
     * @return this collection
     */
    public SettingsValidator name(String flag, String value) {
        boolean valid = value != null && value.matches("[A-Za-z0-9._-]{1,64}");
        return require(valid, flag, value, "is not 1 to 64 letters, digits, dots or dashes");
    }

    /**
     * Checks that a number lies within bounds.
     *
     * @param flag flag of the setting
     * @param value its value
     * @param minimum lowest value allowed
     * @param maximum highest value allowed
     * @return this collection
     */
    public SettingsValidator between(String flag, long value, long minimum, long maximum) {
        String reason = "is not between %d and %d".formatted(minimum, maximum);
        return require(value >= minimum && value <= maximum, flag, value, reason);
    }

    /**
     * Checks a condition.
     *
     * @param holds whether the setting is right
     * @param flag flag of the setting
     * @param value its value, may be null
     * @param reason what is wrong otherwise
     * @return this collection
     */
    public SettingsValidator require(boolean holds, String flag, Object value, String reason) {
        if (!holds) {
            String variable = EnvironmentDefaults.variable(flag);
            String shown = value == null ? "(not set)" : "\"" + value + "\"";
            faults.add("%s (%s): %s %s".formatted(flag, variable, shown, reason));
        }
        return this;
    }

    /**
     * Returns the faults.
     *
     * @return one text for each fault, none if the settings are right
     */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /**
     * Tells whether a text is an IP number and a port.
     *
     * @param value text, may be null
     * @return true if it is
     */
    private static boolean isAddress(String value) {
        Matcher m = ADDRESS.matcher(value == null ? "" : value);
        if (!m.matches() || Integer.parseInt(m.group(2)) > MAX_PORT) {
            return false;
        }
        if (m.group(1).startsWith("[")) {
            return true;
        }
        for (String octet : m.group(1).split("\\.")) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }
}
