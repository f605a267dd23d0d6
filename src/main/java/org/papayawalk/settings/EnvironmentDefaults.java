package org.papayawalk.settings;

import com.beust.jcommander.IDefaultProvider;
import java.util.Locale;
import java.util.Map;

/**
 * Takes the value of a flag that is not given from the environment: {@code --table-address} from
 * {@code PAPAYAWALK_TABLE_ADDRESS}. Immutable; safe from any thread.
 */
public final class EnvironmentDefaults implements IDefaultProvider {
    /** Start of every variable's name. */
    private static final String PREFIX = "PAPAYAWALK_";

    /** Environment to read. */
    private final Map<String, String> environment;

    /**
     * Creates a provider.
     *
     * @param environment variables by name
     */
    public EnvironmentDefaults(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /**
     * Returns the variable that stands for a flag.
     *
     * @param flag flag such as {@code --table-address}
     * @return name of the variable
     */
    public static String variable(String flag) {
        String words = flag.replaceFirst("^-+", "").replace('-', '_');
        return PREFIX + words.toUpperCase(Locale.ROOT);
    }

    @Override
    public String getDefaultValueFor(String optionName) {
        return environment.get(variable(optionName));
    }
}
