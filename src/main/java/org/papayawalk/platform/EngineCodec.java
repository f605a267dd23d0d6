package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.Manifest;

/** Calls and answers of model servers and of the origin. Holds no state; safe from any thread. */
public final class EngineCodec {
    /** Path of the report of a server. */
    public static final String REPORT_TARGET = "/report";

    /** Path of an order to a server. */
    public static final String LOAD_ORDER_TARGET = "/order";

    /** Prevents instances. */
    private EngineCodec() {}

    /**
     * Decodes the report of a server.
     *
     * @param data body
     * @return report
     * @throws IOException if the body is not a report
     */
    public static EngineReport decodeReport(byte[] data) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        if (!root.path("sequence").isIntegralNumber()) {
            throw new IOException("report has no count of orders");
        }
        return new EngineReport(
                root.path("born").asLong(),
                UpstreamRegistrationCodec.versionsByModel(root),
                root.path("busy").asBoolean(),
                root.path("sequence").asLong(),
                root.path("queued").asInt(),
                root.path("active").asInt());
    }

    /**
     * Encodes the order to load the staged weights.
     *
     * @param model name of the model
     * @param version number of the version
     * @param ordersSeen orders that the server had accepted when its state was read
     * @return body
     */
    public static byte[] encodeLoadOrder(String model, int version, long ordersSeen) {
        ObjectNode root = JsonTree.MAPPER.createObjectNode();
        root.put("operation", "start");
        root.put("model", model);
        root.put("version", version);
        root.put("mode", "queue");
        root.put("expectedRev", ordersSeen);
        return JsonTree.write(root);
    }

    /**
     * Returns the call that stages a chunk at a server.
     *
     * @param model name of the model
     * @param index index of the chunk
     * @return path and query
     */
    public static String stageChunkTarget(String model, int index) {
        return "/stage-put/" + model + "?digestCount=" + index;
    }

    /**
     * Returns the call that reads a staged chunk back.
     *
     * @param model name of the model
     * @param index index of the chunk
     * @return path and query
     */
    public static String stagedChunkTarget(String model, int index) {
        return "/stage-get/" + model + "?digestCount=" + index;
    }

    /**
     * Returns the call that reads the digests of a version from the origin.
     *
     * @param model name of the model
     * @param version number of the version
     * @return path and query
     */
    public static String manifestTarget(String model, int version) {
        return "/manifest/" + model + "?version=" + version;
    }

    /**
     * Returns the call that reads a chunk of a version from the origin.
     *
     * @param model name of the model
     * @param version number of the version
     * @param index index of the chunk
     * @return path and query
     */
    public static String chunkTarget(String model, int version, int index) {
        return "/piece/" + model + "?digestCount=" + index + "&version=" + version;
    }

    /**
     * Decodes the digests of a version.
     *
     * @param data body
     * @param model name that the answer must bear
     * @param version number that the answer must bear
     * @return manifest; the whole is named by the digest of the body
     * @throws IOException if the body is not the digests of this version
     */
    public static Manifest decodeManifest(byte[] data, String model, int version)
            throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        boolean meant =
                model.equals(root.path("model").asText())
                        && version == root.path("version").asInt();
        if (!meant) {
            throw new IOException("digests are of another model or version");
        }
        List<Digest> chunks = new ArrayList<>();
        try {
            root.path("digests").forEach(d -> chunks.add(new Digest(d.asText())));
            int chunkBytes = root.path("chunkBytes").asInt();
            return new Manifest(
                    model,
                    "",
                    Integer.toString(version),
                    (long) chunkBytes * chunks.size(),
                    chunkBytes,
                    chunks,
                    Digest.of(data));
        } catch (IllegalArgumentException e) {
            throw new IOException("digests: " + e.getMessage(), e);
        }
    }
}
