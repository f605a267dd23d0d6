package org.papayawalk.lab;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.type.TypeReference;
import java.time.Duration;
import java.util.Map;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.ClientRequest;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.lab.standin.PublishRequest;

/** Has the origin make up a version and prints the digest of its manifest. */
@Parameters(commandDescription = "Make up a version at the origin and print its digest")
final class PublishCommand implements LabCommand {
    /** Longest silence of the origin. */
    private static final Duration SILENCE = Duration.ofSeconds(30);

    /** Origin. */
    @Parameter(names = "--origin-address", required = true, description = "IP number and port")
    private String originAddress;

    /** Model. */
    @Parameter(names = "--model", description = "Name of the model")
    private String model = "ube-helper";

    /** Version. */
    @Parameter(names = "--model-version", required = true, description = "Name of the version")
    private String version;

    /** Size. */
    @Parameter(names = "--size-bytes", description = "Length of the weights")
    private long sizeBytes = 8L << 20;

    /** Chunk. */
    @Parameter(names = "--chunk-bytes", description = "Length of a chunk")
    private int chunkBytes = 128 << 10;

    /** Seed. */
    @Parameter(names = "--seed", description = "Seed of the content")
    private long seed = 1;

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public int run() throws Exception {
        PublishRequest request =
                new PublishRequest(model, "", version, sizeBytes, chunkBytes, seed);
        try (BlockingHttpClient http = new BlockingHttpClient(SILENCE, 1, true)) {
            ClientRequest call =
                    ClientRequest.post("lab-publish", originAddress, "/lab/publish", request);
            var reply = http.execute(call);
            if (reply.isLeft()) {
                System.err.println("publish: " + reply.getLeft());
                return 1;
            }
            Map<String, String> answer = Json.read(reply.get().body(), new TypeReference<>() {});
            System.out.println(answer.get("digest"));
            return 0;
        }
    }
}
