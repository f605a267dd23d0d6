package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.lab.standin.FaultSettings;

/** Replaces the faults of a running stand-in. Faults whose option is not given are cleared. */
@Parameters(commandDescription = "Set the faults of a running stand-in")
final class FaultCommand implements LabCommand {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

    @Parameter(names = "--address", required = true, description = "IP address and port")
    private String address;

    @Parameter(names = "--away", description = "Close connections without a response")
    private boolean away;

    @Parameter(names = "--frozen", description = "Hold requests until the fault is cleared")
    private boolean frozen;

    @Parameter(names = "--slow-millis", description = "Delay of every response, in milliseconds")
    private long slowMillis;

    @Parameter(
            names = "--lose-answer",
            description = "Ratio of requests that take effect without a response, 0 to 1")
    private double loseAnswerRatio;

    @Parameter(names = "--corrupt", description = "Ratio of chunks that are corrupted, 0 to 1")
    private double corruptRatio;

    @Override
    public String name() {
        return "fault";
    }

    @Override
    public int run() {
        FaultSettings settings =
                new FaultSettings(away, frozen, slowMillis, loseAnswerRatio, corruptRatio);
        try (BlockingHttpClient http = BlockingHttpClient.keepingConnections(READ_TIMEOUT, 1)) {
            var reply =
                    http.execute(ClientRequest.post("lab-fault", address, "/lab/faults", settings));
            if (reply.isLeft()) {
                System.err.println("fault: " + reply.getLeft());
                return 1;
            }
            System.out.println("faults at " + address + ": " + reply.get().text());
            return 0;
        }
    }
}
