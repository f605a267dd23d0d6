package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import org.papayawalk.settings.SettingsValidator;

/** Options that several commands share. Written once, by the parser; read-only afterwards. */
class CommonOptions {
    /** IP address and port of the table service, null if not set. */
    @Parameter(names = "--table-address", description = "IP address and port of the table service")
    String tableAddress;

    /** IP address and port of the host list, null if not set. */
    @Parameter(names = "--host-list-address", description = "IP address and port of the host list")
    String hostListAddress;

    /** Whether to print the result as JSON. */
    @Parameter(names = "--json", description = "Print one JSON object")
    boolean json;

    /** Whether to print the help of the command instead of running it. */
    @Parameter(names = "--help", help = true, description = "Show the options and exit")
    boolean help;

    /**
     * Validates the options. Commands override this and add the options that they need.
     *
     * @return validator that holds the errors found, empty if all options are valid
     */
    SettingsValidator validate() {
        return new SettingsValidator();
    }
}
