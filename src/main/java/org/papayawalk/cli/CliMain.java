package org.papayawalk.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.papayawalk.settings.EnvironmentDefaults;

/** Runs one command of the operators' tool. */
public final class CliMain {
    /** Prevents instances. */
    private CliMain() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments command and options
     */
    public static void main(String[] arguments) {
        ExitCode code = run(arguments, System.getenv(), System.out, System.err);
        System.exit(code.number());
    }

    /**
     * Runs a command.
     *
     * @param arguments command and options
     * @param environment variables by name
     * @param out results
     * @param err progress and errors
     * @return exit code
     */
    static ExitCode run(
            String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        List<Command> commands = commands();
        MainOptions main = new MainOptions();
        JCommander parser = parser(main, commands, environment);
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
        List<String> faults = command.options().checks().faults();
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

    /**
     * Returns new instances of all commands.
     *
     * @return commands in the order of the help
     */
    private static List<Command> commands() {
        return List.of(
                new ApplyCommand("apply", false),
                new ApplyCommand("diff", true),
                new StatusCommand("status", false),
                new StatusCommand("rollout", true),
                new AuditCommand(),
                new DrainCommand(),
                new OutcomeCommand(),
                new VersionCommand());
    }

    /**
     * Builds the parser.
     *
     * @param main options before the command
     * @param commands commands
     * @param environment variables by name
     * @return parser
     */
    private static JCommander parser(
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

    /** Options before the command. Filled once. */
    private static final class MainOptions {
        /** Help. */
        @Parameter(names = "--help", help = true, description = "Show the commands and exit")
        private boolean help;

        /** Version. */
        @Parameter(names = "--version", help = true, description = "Show the version and exit")
        private boolean version;
    }
}
