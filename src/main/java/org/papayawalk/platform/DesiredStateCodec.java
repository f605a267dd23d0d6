package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.desired.Caller;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.desired.RouteTable;
import org.papayawalk.core.desired.ServiceSpec;
import org.papayawalk.core.desired.TrafficShare;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.TeamId;

/**
 * Decodes the desired state that the operator publishes. On the wire, tenants are teams and zones
 * are failure domains. Stateless; thread-safe.
 */
public final class DesiredStateCodec {
    /** Timeout of a route without {@code timeoutMs}. */
    private static final int DEFAULT_TIMEOUT_MILLIS = 30_000;

    private DesiredStateCodec() {}

    /**
     * Decodes a desired state. Fields that are absent get their defaults.
     *
     * @param data JSON text
     * @return desired state
     * @throws IOException if the text is not a JSON object or a field has an invalid value
     */
    public static DesiredState decode(byte[] data) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        try {
            List<RouteRule> routes = new ArrayList<>();
            root.path("routes").forEach(r -> routes.add(route(r)));
            Map<ServiceId, ServiceSpec> services = new HashMap<>();
            root.path("services")
                    .forEach(
                            s -> {
                                ServiceSpec spec = service(s);
                                services.put(spec.id(), spec);
                            });
            return new DesiredState(
                    version(root.path("version")),
                    new RouteTable(routes),
                    services,
                    limits(root.path("limits")),
                    root.has("tenants"),
                    callersByKey(root.path("tenants")));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid desired state: " + e.getMessage(), e);
        }
    }

    private static long version(JsonNode node) {
        return JsonTree.wholeNumber(node, 0, Long.MAX_VALUE)
                .orElseThrow(() -> new IllegalArgumentException("version is no whole number"));
    }

    private static RouteRule route(JsonNode node) {
        List<TrafficShare> shares = new ArrayList<>();
        for (JsonNode s : node.path("trafficSplit")) {
            ServiceId service = new ServiceId(s.path("service").asText());
            shares.add(new TrafficShare(service, limit(s, "weight", 0)));
        }
        if (shares.isEmpty()) {
            shares.add(new TrafficShare(new ServiceId(node.path("service").asText()), 1));
        }
        int timeout = limit(node, "timeoutMs", DEFAULT_TIMEOUT_MILLIS);
        return new RouteRule(
                node.path("name").asText(),
                node.path("host").asText(),
                node.path("prefix").asText(),
                kind(node.path("kind").asText()),
                Duration.ofMillis(timeout),
                Duration.ofMillis(limit(node, "targetLatencyMs", timeout)),
                limit(node, "priority", 0),
                shares,
                Math.max(1, limit(node, "maxAttempts", 1)),
                node.path("allowAnonymous").asBoolean(),
                node.path("resumeStreams").asBoolean());
    }

    // Requests of an unknown kind are treated as non-idempotent, so they are not retried.
    private static RequestKind kind(String text) {
        return switch (text) {
            case "safe" -> RequestKind.SAFE;
            case "streaming" -> RequestKind.STREAMING;
            default -> RequestKind.NON_IDEMPOTENT;
        };
    }

    private static ServiceSpec service(JsonNode node) {
        Optional<OriginSpec> origin =
                node.hasNonNull("origin")
                        ? Optional.of(
                                new OriginSpec(
                                        node.get("origin").asText(),
                                        new DomainId(node.path("zone").asText("unknown")),
                                        limit(node, "maxConnections", 8)))
                        : Optional.empty();
        Optional<EngineSpec> engine =
                node.hasNonNull("engine")
                        ? Optional.of(engine(node.get("engine")))
                        : Optional.empty();
        return new ServiceSpec(
                new ServiceId(node.path("name").asText()),
                limit(node, "maxConnections", Integer.MAX_VALUE),
                engine,
                origin);
    }

    // On the wire, "chunks" is the number of chunks of a version, "step_ms" and "per_seq_ms" are
    // the times of a decode step, "read_per_s" is the prefill speed in tokens per second, "stride"
    // the number of decode steps in an iteration, and "usual" holds mean lengths in tokens.
    private static EngineSpec engine(JsonNode node) {
        List<String> models = new ArrayList<>();
        node.path("models").forEach(m -> models.add(m.path("name").asText()));
        double warmup = node.path("models").path(0).path("warmupS").asDouble();
        JsonNode usual = node.path("usual");
        return new EngineSpec(
                models,
                Math.max(1, limit(node, "slots", 1)),
                limit(node, "chunks", 0),
                limit(node, "chunkBytes", 0),
                node.path("step_ms").asDouble(),
                node.path("per_seq_ms").asDouble(),
                node.path("read_per_s").asDouble(),
                Math.max(1, limit(node, "stride", 1)),
                limit(usual, "prompt", 0),
                limit(usual, "answer", 0),
                Duration.ofMillis((long) (warmup * 1000)));
    }

    private static CallerLimits limits(JsonNode node) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        int header = limit(node, "headerTimeoutMs", (int) defaults.headerTimeout().toMillis());
        int idle = limit(node, "idleTimeoutMs", (int) defaults.idleTimeout().toMillis());
        return new CallerLimits(
                limit(node, "maxHeaderBytes", defaults.maxHeaderBytes()),
                limit(node, "maxBodyBytes", defaults.maxBodyBytes()),
                Duration.ofMillis(header),
                Duration.ofMillis(idle));
    }

    private static int limit(JsonNode node, String field, int otherwise) {
        return JsonTree.limit(node.path(field), otherwise);
    }

    private static Map<String, Caller> callersByKey(JsonNode node) {
        Map<String, Caller> callers = new HashMap<>();
        for (JsonNode t : node) {
            JsonNode priority = t.path("priority");
            Caller caller =
                    new Caller(
                            new TeamId(t.path("name").asText()),
                            priority.isInt()
                                    ? OptionalInt.of(priority.asInt())
                                    : OptionalInt.empty());
            t.path("apiKeys").forEach(k -> callers.put(k.asText(), caller));
        }
        return callers;
    }
}
