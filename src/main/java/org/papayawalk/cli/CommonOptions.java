package org.papayawalk.cli;

import com.beust.jcommander.Parameter;
import org.papayawalk.settings.SettingsValidator;

/** Options that several commands have. Filled once, read-only afterwards. */
class CommonOptions {
    /** Table service. */
    @Parameter(names = "--table-address", description = "IP number and port of the table service")
    String tableAddress;

    /** Host list. */
    @Parameter(names = "--host-list-address", description = "IP number and port of the host list")
    String hostListAddress;

    /** JSON. */
    @Parameter(names = "--json", description = "Print one JSON object")
    boolean json;

    /** Help. */
    @Parameter(names = "--help", help = true, description = "Show the options and exit")
    boolean help;

    /**
     * Checks the options.
     *
     * @return faults of the options, none if they are right
     */
    SettingsValidator checks() {
        return new SettingsValidator();
    }
}
