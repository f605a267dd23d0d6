package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.papayawalk.core.desired.Caller;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.desired.Homes;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.desired.RouteTable;
import org.papayawalk.core.desired.ServiceSpec;
import org.papayawalk.core.desired.TrafficShare;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.TeamId;

/**
 * Decodes the desired state that the operator publishes. On the wire, tenants are teams and zones
 * are failure domains. Stateless; thread-safe.
 */
public final class DesiredStateCodec {
    /** Timeout of a route without {@code timeoutMs}. */
    private static final int DEFAULT_TIMEOUT_MILLIS = 30_000;

    /** Domain of an origin that states none, or none that can be used. */
    private static final DomainId UNKNOWN_DOMAIN = new DomainId("unknown");

    private DesiredStateCodec() {}

    /**
     * Decodes a desired state. Fields that are absent get their defaults. A route, a service or a
     * team that cannot be used is left out, so that it keeps nothing else from being in force.
     *
     * @param data JSON text
     * @return desired state and what was left out of it
     * @throws IOException if the text is not a JSON object or has no valid version
     */
    public static DecodedDesiredState decode(byte[] data) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        OptionalLong version = JsonTree.wholeNumber(root.path("version"), 0, Long.MAX_VALUE);
        if (version.isEmpty()) {
            throw new IOException("invalid desired state: version is no whole number");
        }
        OmittedParts omitted = new OmittedParts();
        List<RouteRule> routes =
                omitted.decodeEach("route", root.path("routes"), DesiredStateCodec::route);
        Map<ServiceId, ServiceSpec> services = new HashMap<>();
        omitted.decodeEach("service", root.path("services"), DesiredStateCodec::service)
                .forEach(s -> services.put(s.id(), s));
        Map<String, Caller> callersByKey = new HashMap<>();
        omitted.decodeEach("team", root.path("tenants"), DesiredStateCodec::callersByKey)
                .forEach(callersByKey::putAll);
        DesiredState desired =
                new DesiredState(
                        version.getAsLong(),
                        new RouteTable(routes),
                        services,
                        limits(root.path("limits")),
                        root.has("tenants"),
                        callersByKey);
        return new DecodedDesiredState(desired, omitted.count(), omitted.descriptions());
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
                node.path("resumeStreams").asBoolean(),
                homes(node));
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
                                        domain(node.path("zone")),
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
                origin,
                coldPerSecond(node));
    }

    // On the wire, a service without cold upstreams states 0 for both figures.
    private static OptionalDouble coldPerSecond(JsonNode node) {
        double perSecond = node.path("coldPerS").asDouble();
        boolean limited = perSecond > 0 || node.path("coldS").asDouble() > 0;
        return limited ? OptionalDouble.of(Math.max(0, perSecond)) : OptionalDouble.empty();
    }

    // A list that names anything binds, even if none of its names is one of a region.
    private static Homes homes(JsonNode node) {
        JsonNode list = node.path("allowedRegions");
        if (!list.isArray() || list.isEmpty()) {
            return Homes.ANYWHERE;
        }
        Set<RegionId> regions = new HashSet<>();
        for (JsonNode r : list) {
            region(r).ifPresent(regions::add);
        }
        return Homes.of(regions);
    }

    private static Optional<RegionId> region(JsonNode node) {
        try {
            return Optional.of(new RegionId(node.asText()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
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
        JsonNode priority = node.path("priority");
        Caller caller =
                new Caller(
                        new TeamId(node.path("name").asText()),
                        priority.isInt() ? OptionalInt.of(priority.asInt()) : OptionalInt.empty(),
                        homes(node));
        Map<String, Caller> callers = new HashMap<>();
        node.path("apiKeys").forEach(k -> callers.put(k.asText(), caller));
        return callers;
    }

    // The domain of an origin only decides who is near it.
    private static DomainId domain(JsonNode node) {
        try {
            return new DomainId(node.asText());
        } catch (IllegalArgumentException e) {
            return UNKNOWN_DOMAIN;
        }
    }
}
