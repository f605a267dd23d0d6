package org.papayawalk.settings;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/**
 * Default values of flags from environment variables: a missing {@code --table-address} takes its
 * value from {@code PAPAYAWALK_TABLE_ADDRESS}. Immutable and thread-safe.
 */
public final class EnvironmentDefaults implements IDefaultProvider {
    private static final String PREFIX = "PAPAYAWALK_";

    private final Map<String, String> environment;

    /**
     * Creates a provider.
     *
     * @param environment values of environment variables by name, copied
     */
    public EnvironmentDefaults(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /**
     * Returns the name of the environment variable that belongs to a flag.
     *
     * @param flag flag such as {@code --table-address}
     * @return name such as {@code PAPAYAWALK_TABLE_ADDRESS}
     */
    public static String variableName(String flag) {
        String words = flag.replaceFirst("^-+", "").replace('-', '_');
        return PREFIX + words.toUpperCase(Locale.ROOT);
    }

    @Override
    public String getDefaultValueFor(String optionName) {
        return environment.get(variableName(optionName));
    }
}
