package org.papayawalk.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates settings and collects an error message for each invalid one, so that all of them are
 * reported at once. Not thread-safe.
 */
public final class SettingsValidator {
    // IPv4 address, or IPv6 address in brackets, followed by a port.
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

    private static final int MAX_PORT = 65_535;

    private static final int MAX_OCTET = 255;

    private final List<String> faults = new ArrayList<>();

    /**
     * Requires a setting to be an IP address and a port. Host names are invalid.
     *
     * @param flag flag of the setting
     * @param value its value, null if it is not set
     * @return this validator
     */
    public SettingsValidator address(String flag, String value) {
        return require(
                isAddress(value),
                flag,
                value,
                "is not an IP address and port, such as 192.0.2.7:8080 or [2001:db8::7]:8080");
    }

    /**
     * Requires a setting to be a valid name of a host, failure domain, region or fleet.
     *
     * @param flag flag of the setting
     * @param value its value, null if it is not set
     * @return this validator
     */
    public SettingsValidator name(String flag, String value) {
        boolean valid = value != null && value.matches("[A-Za-z0-9._-]{1,64}");
        return require(
                valid,
                flag,
                value,
                "is not 1 to 64 ASCII letters, digits, dots, dashes and underscores");
    }

    /**
     * Requires a number to lie within bounds.
     *
     * @param flag flag of the setting
     * @param value its value
     * @param minimum lowest valid value
     * @param maximum highest valid value
     * @return this validator
     */
    public SettingsValidator between(String flag, long value, long minimum, long maximum) {
        String reason = "is not between %d and %d".formatted(minimum, maximum);
        return require(value >= minimum && value <= maximum, flag, value, reason);
    }

    /**
     * Requires a condition to hold for a setting.
     *
     * @param valid whether the setting is valid
     * @param flag flag of the setting
     * @param value its value, null if it is not set
     * @param reason rest of the error message after flag, variable and value, such as {@code is not
     *     between 1 and 9}
     * @return this validator
     */
    public SettingsValidator require(boolean valid, String flag, Object value, String reason) {
        if (!valid) {
            String variable = EnvironmentDefaults.variableName(flag);
            String shown = value == null ? "(not set)" : "\"" + value + "\"";
            faults.add("%s (%s): %s %s".formatted(flag, variable, shown, reason));
        }
        return this;
    }

    /**
     * Returns the error messages so far.
     *
     * @return one message per failed requirement in the order of the checks, empty if all hold
     */
    public List<String> faults() {
        return List.copyOf(faults);
    }

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
