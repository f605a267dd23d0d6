package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.lab.standin.FaultSettings;

/** Switches faults of a running stand-in. */
@Parameters(commandDescription = "Set the faults of a running stand-in")
final class FaultCommand implements LabCommand {
    /** Longest silence of the stand-in. */
    private static final Duration SILENCE = Duration.ofSeconds(5);

    /** Stand-in. */
    @Parameter(names = "--address", required = true, description = "IP number and port")
    private String address;

    /** Away. */
    @Parameter(names = "--away", description = "Close connections without an answer")
    private boolean away;

    /** Frozen. */
    @Parameter(names = "--frozen", description = "Let requests hang")
    private boolean frozen;

    /** Slow. */
    @Parameter(names = "--slow-millis", description = "Delay every answer")
    private long slowMillis;

    /** Lost answers. */
    @Parameter(names = "--lose-answer", description = "Share of answers lost after the effect")
    private double loseAnswerRatio;

    /** Corruption. */
    @Parameter(names = "--corrupt", description = "Share of chunks corrupted")
    private double corruptRatio;

    @Override
    public String name() {
        return "fault";
    }

    @Override
    public int run() {
        FaultSettings settings =
                new FaultSettings(away, frozen, slowMillis, loseAnswerRatio, corruptRatio);
        try (BlockingHttpClient http = new BlockingHttpClient(SILENCE, 1, true)) {
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
