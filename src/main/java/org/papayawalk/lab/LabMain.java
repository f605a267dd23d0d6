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

/** Main class of the lab tool {@code papayawalk-lab}. */
public final class LabMain {
    private static final int EXIT_USAGE = 2;

    private static final int EXIT_FAILURE = 1;

    private LabMain() {}

    /**
     * Runs a command. The process exits when the command ends, unless it started stand-ins; their
     * threads keep the process running.
     *
     * @param arguments command and options
     */
    public static void main(String[] arguments) {
        Map<String, LabCommand> commands =
                createCommands().stream()
                        .collect(Collectors.toMap(LabCommand::name, Function.identity()));
        JCommander.Builder builder = JCommander.newBuilder().programName("papayawalk-lab");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        if (isHelpRequest(arguments, commands)) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(arguments[0], usage);
            System.out.print(usage);
            return;
        }
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("papayawalk-lab: " + e.getMessage());
            System.exit(EXIT_USAGE);
        }
        if (parser.getParsedCommand() == null) {
            parser.usage();
            System.exit(EXIT_USAGE);
        }
        int code = run(commands.get(parser.getParsedCommand()));
        if (code != 0) {
            System.exit(code);
        }
    }

    private static boolean isHelpRequest(String[] arguments, Map<String, LabCommand> commands) {
        return arguments.length == 2
                && commands.containsKey(arguments[0])
                && arguments[1].equals("--help");
    }

    private static int run(LabCommand command) {
        try {
            return command.run();
        } catch (ParameterException e) {
            System.err.println("papayawalk-lab: " + e.getMessage());
            return EXIT_USAGE;
        } catch (Exception e) {
            Event.named("lab-failed").with("command", command.name()).error(e);
            return EXIT_FAILURE;
        }
    }

    private static List<LabCommand> createCommands() {
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
