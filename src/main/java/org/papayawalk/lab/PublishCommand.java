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

/** Publishes a version with generated content at the origin and prints its manifest's digest. */
@Parameters(commandDescription = "Publish a generated version at the origin and print its digest")
final class PublishCommand implements LabCommand {
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(30);

    @Parameter(names = "--origin-address", required = true, description = "IP address and port")
    private String originAddress;

    @Parameter(names = "--model", description = "Name of the model")
    private String model = "ube-helper";

    @Parameter(names = "--model-version", required = true, description = "Name of the version")
    private String version;

    @Parameter(names = "--size-bytes", description = "Size of the weights in bytes")
    private long sizeBytes = 8L << 20;

    @Parameter(names = "--chunk-bytes", description = "Size of a chunk in bytes")
    private int chunkBytes = 128 << 10;

    @Parameter(names = "--seed", description = "Seed of the generated content")
    private long seed = 1;

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public int run() throws Exception {
        PublishRequest request =
                new PublishRequest(model, "", version, sizeBytes, chunkBytes, seed);
        try (BlockingHttpClient http = BlockingHttpClient.keepingConnections(READ_TIMEOUT, 1)) {
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
