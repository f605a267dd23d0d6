package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.Manifest;

/** Requests and responses of model engines and of the origin. Stateless; thread-safe. */
public final class EngineCodec {
    /** Path of the status report of an engine. */
    public static final String REPORT_TARGET = "/report";

    /** Path of load orders to an engine. */
    public static final String LOAD_ORDER_TARGET = "/order";

    private EngineCodec() {}

    /**
     * Decodes the status report of an engine. On the wire, {@code born} is the incarnation, {@code
     * busy} says whether weights are being loaded, {@code sequence} is the number of load orders
     * accepted, {@code queued} counts waiting and {@code active} running requests.
     *
     * @param data response body
     * @return report
     * @throws IOException if the body is not a JSON object, has no {@code sequence}, or a number is
     *     out of range
     */
    public static EngineReport decodeReport(byte[] data) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        if (root.path("sequence").isMissingNode()) {
            throw new IOException(
                    "engine report has no integer field \"sequence\" (number of load orders)");
        }
        return new EngineReport(
                count(root, "born", Long.MAX_VALUE),
                UpstreamRegistrationCodec.versionsByModel(root),
                root.path("busy").asBoolean(),
                count(root, "sequence", Long.MAX_VALUE),
                (int) count(root, "queued", Integer.MAX_VALUE),
                (int) count(root, "active", Integer.MAX_VALUE));
    }

    // Returns 0 if the field is absent.
    private static long count(JsonNode root, String field, long max) throws IOException {
        JsonNode node = root.path(field);
        if (node.isMissingNode()) {
            return 0;
        }
        return JsonTree.wholeNumber(node, 0, max)
                .orElseThrow(
                        () ->
                                new IOException(
                                        "engine report has no integer field \"%s\" from 0 to %d"
                                                .formatted(field, max)));
    }

    /**
     * Encodes the order to load the staged weights. The wire field {@code expectedRev} holds the
     * number of load orders that the engine had accepted when its report was read, so that the
     * engine can reject an order based on an outdated report.
     *
     * @param model name of the model
     * @param version version of the weights
     * @param acceptedOrders number of load orders in the report on which this order is based
     * @return request body, JSON text
     */
    public static byte[] encodeLoadOrder(String model, int version, long acceptedOrders) {
        ObjectNode root = JsonTree.MAPPER.createObjectNode();
        root.put("operation", "start");
        root.put("model", model);
        root.put("version", version);
        root.put("mode", "queue");
        root.put("expectedRev", acceptedOrders);
        return JsonTree.write(root);
    }

    /**
     * Returns the target that stages a chunk at an engine. The wire parameter {@code digestCount}
     * holds the index of the chunk.
     *
     * @param model name of the model
     * @param index index of the chunk, 0 for the first
     * @return path and query
     */
    public static String stageChunkTarget(String model, int index) {
        return "/stage-put/" + model + "?digestCount=" + index;
    }

    /**
     * Returns the target that reads a staged chunk back from an engine. The wire parameter {@code
     * digestCount} holds the index of the chunk.
     *
     * @param model name of the model
     * @param index index of the chunk, 0 for the first
     * @return path and query
     */
    public static String stagedChunkTarget(String model, int index) {
        return "/stage-get/" + model + "?digestCount=" + index;
    }

    /**
     * Returns the target that reads the chunk digests of a version from the origin.
     *
     * @param model name of the model
     * @param version version of the weights
     * @return path and query
     */
    public static String manifestTarget(String model, int version) {
        return "/manifest/" + model + "?version=" + version;
    }

    /**
     * Returns the target that reads a chunk of a version from the origin. The wire parameter {@code
     * digestCount} holds the index of the chunk.
     *
     * @param model name of the model
     * @param version version of the weights
     * @param index index of the chunk, 0 for the first
     * @return path and query
     */
    public static String chunkTarget(String model, int version, int index) {
        return "/piece/" + model + "?digestCount=" + index + "&version=" + version;
    }

    /**
     * Decodes the chunk digests of a version.
     *
     * @param data response body
     * @param model name of the model that was requested
     * @param version version that was requested
     * @return manifest, whose digest of the whole is the digest of the body
     * @throws IOException if the body is invalid or belongs to another model or version
     */
    public static Manifest decodeManifest(byte[] data, String model, int version)
            throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        OptionalLong number = JsonTree.wholeNumber(root.path("version"), 1, Integer.MAX_VALUE);
        boolean matches =
                model.equals(root.path("model").asText())
                        && number.equals(OptionalLong.of(version));
        if (!matches) {
            throw new IOException(
                    "expected the digests of model %s version %d, found model %s version %s"
                            .formatted(
                                    model,
                                    version,
                                    root.path("model").asText(),
                                    root.path("version").asText()));
        }
        List<Digest> chunks = new ArrayList<>();
        try {
            root.path("digests").forEach(d -> chunks.add(new Digest(d.asText())));
            int chunkBytes = JsonTree.limit(root.path("chunkBytes"), 0);
            return new Manifest(
                    model,
                    "",
                    Integer.toString(version),
                    (long) chunkBytes * chunks.size(),
                    chunkBytes,
                    chunks,
                    Digest.of(data));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid digests of a weight version: " + e.getMessage(), e);
        }
    }
}
