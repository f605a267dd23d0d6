package org.papayawalk.cli;

import com.beust.jcommander.Parameters;
import java.util.Map;
import org.papayawalk.core.Product;

/** Prints the version of the tool. Confined to one thread. */
final class VersionCommand implements Command {
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
            context.printJson(Map.of("version", Product.VERSION));
        } else {
            context.print("papayawalk " + Product.VERSION);
        }
        return ExitCode.OK;
    }

    /** Command line options. Written once, by the parser. */
    @Parameters(commandDescription = "Show the version")
    private static final class Options extends CommonOptions {}
}
