package org.papayawalk.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.papayawalk.settings.EnvironmentDefaults;

/** Main class of the operators' command line tool {@code papayawalk}. */
public final class CliMain {
    private CliMain() {}

    /**
     * Runs a command and exits the process with the code that {@link ExitCode} defines.
     *
     * @param arguments command and options
     */
    public static void main(String[] arguments) {
        ExitCode code = run(arguments, System.getenv(), System.out, System.err);
        System.exit(code.number());
    }

    /**
     * Parses the arguments and runs the command. Prints errors of the command line to {@code err};
     * help goes to the standard output.
     *
     * @param arguments command and options
     * @param environment environment variables, which are the defaults of options
     * @param out stream for results
     * @param err stream for progress and errors
     * @return exit code
     */
    static ExitCode run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        List<Command> commands = createCommands();
        MainOptions main = new MainOptions();
        JCommander parser = buildParser(main, commands, environment);
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            err.println("papayawalk: " + e.getMessage());
            return ExitCode.USAGE;
        }
        String name = main.version ? "version" : parser.getParsedCommand();
        if (main.help || name == null) {
            parser.usage();
            return main.help ? ExitCode.OK : ExitCode.USAGE;
        }
        Command command =
                commands.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
        if (command.options().help) {
            parser.getUsageFormatter().usage(name);
            return ExitCode.OK;
        }
        List<String> faults = command.options().validate().faults();
        if (!faults.isEmpty()) {
            faults.forEach(f -> err.println("papayawalk " + name + ": " + f));
            return ExitCode.USAGE;
        }
        try (CommandContext context = new CommandContext(out, err)) {
            return command.run(context);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.UNKNOWN;
        }
    }

    // The help lists the commands in this order.
    private static List<Command> createCommands() {
        return List.of(
                new ApplyCommand("apply", false),
                new ApplyCommand("diff", true),
                new StatusCommand("status", false),
                new StatusCommand("rollout", true),
                new AuditCommand(),
                new DrainCommand(),
                new OutcomeCommand(),
                new CheckCommand(),
                new VersionCommand());
    }

    private static JCommander buildParser(
            MainOptions main, List<Command> commands, Map<String, String> environment) {
        EnvironmentDefaults defaults = new EnvironmentDefaults(environment);
        JCommander.Builder builder =
                JCommander.newBuilder()
                        .programName("papayawalk")
                        .addObject(main)
                        .defaultProvider(defaults);
        commands.forEach(c -> builder.addCommand(c.name(), c.options()));
        return builder.build();
    }

    /** Options that precede the command. Written once, by the parser. */
    private static final class MainOptions {
        @Parameter(names = "--help", help = true, description = "Show the commands and exit")
        private boolean help;

        @Parameter(names = "--version", help = true, description = "Show the version and exit")
        private boolean version;
    }
}
