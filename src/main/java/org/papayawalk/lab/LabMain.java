package org.papayawalk.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.papayawalk.lab.burst.BurstCommand;
import org.papayawalk.lab.config.ConfigCommand;
import org.papayawalk.lab.load.LoadCommand;
import org.papayawalk.lab.requests.RequestsCommand;
import org.papayawalk.log.Event;

/** Runs one command of the lab tool. */
public final class LabMain {
    /** Exit code of a wrong command line. */
    private static final int USAGE = 2;

    /** Exit code of a command that failed. */
    private static final int FAILED = 1;

    /** Prevents instances. */
    private LabMain() {}

    /**
     * Runs a command. The process ends with it, unless it started stand-ins.
     *
     * @param arguments command and options
     */
    public static void main(String[] arguments) {
        Map<String, LabCommand> commands =
                commands().stream()
                        .collect(Collectors.toMap(LabCommand::name, Function.identity()));
        JCommander.Builder builder = JCommander.newBuilder().programName("papayawalk-lab");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        if (asksForHelp(arguments, commands)) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(arguments[0], usage);
            System.out.print(usage);
            return;
        }
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("papayawalk-lab: " + e.getMessage());
            System.exit(USAGE);
        }
        if (parser.getParsedCommand() == null) {
            parser.usage();
            System.exit(USAGE);
        }
        int code = run(commands.get(parser.getParsedCommand()));
        if (code != 0) {
            System.exit(code);
        }
    }

    /**
     * Tells whether the options of a command are asked for.
     *
     * @param arguments command and options
     * @param commands commands by name
     * @return true for a command followed by {@code --help}
     */
    private static boolean asksForHelp(String[] arguments, Map<String, LabCommand> commands) {
        return arguments.length == 2
                && commands.containsKey(arguments[0])
                && arguments[1].equals("--help");
    }

    /**
     * Runs a command.
     *
     * @param command command
     * @return exit code
     */
    private static int run(LabCommand command) {
        try {
            return command.run();
        } catch (ParameterException e) {
            System.err.println("papayawalk-lab: " + e.getMessage());
            return USAGE;
        } catch (Exception e) {
            Event.named("lab-failed").with("command", command.name()).error(e);
            return FAILED;
        }
    }

    /**
     * Returns new instances of all commands.
     *
     * @return commands
     */
    private static List<LabCommand> commands() {
        return List.of(
                new PlatformCommand(),
                new UpstreamCommand(),
                new PublishCommand(),
                new FaultCommand(),
                new VerifyCommand(),
                new BurstCommand(),
                new RequestsCommand(),
                new ConfigCommand(),
                new LoadCommand());
    }
}
