package org.papayawalk.lab;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Runs one command of the lab tool. */
public final class LabMain {
    /** Exit code of a wrong command line. */
    private static final int USAGE = 2;

    /** Prevents instances. */
    private LabMain() {}

    /**
     * Runs a command. The process ends with it, unless it started stand-ins.
     *
     * @param arguments command and options
     * @throws Exception if the command fails
     */
    public static void main(String[] arguments) throws Exception {
        Map<String, LabCommand> commands =
                commands().stream()
                        .collect(Collectors.toMap(LabCommand::name, Function.identity()));
        JCommander.Builder builder = JCommander.newBuilder().programName("papayawalk-lab");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
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
        int code = commands.get(parser.getParsedCommand()).run();
        if (code != 0) {
            System.exit(code);
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
                new VerifyCommand());
    }
}
