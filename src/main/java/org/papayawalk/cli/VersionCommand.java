package org.papayawalk.cli;

import com.beust.jcommander.Parameters;
import java.util.Map;
import org.papayawalk.core.Product;

/** Shows the version of the tool. */
final class VersionCommand implements Command {
    /** Options. */
    private final Options options = new Options();

    @Override
    public String name() {
        return "version";
    }

    @Override
    public CommonOptions options() {
        return options;
    }

    @Override
    public ExitCode run(CommandContext context) {
        if (options.json) {
            context.json(Map.of("version", Product.VERSION));
        } else {
            context.print("papayawalk " + Product.VERSION);
        }
        return ExitCode.OK;
    }

    /** Options of the command. Filled once. */
    @Parameters(commandDescription = "Show the version")
    private static final class Options extends CommonOptions {}
}
