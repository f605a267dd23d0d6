package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.limit.ColdBound;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.settings.ManagedSettings.OperatorLimits;

/** Reads the settings file that the managed platform provides. Stateless; thread-safe. */
public final class ManagedSettingsCodec {
    /** Environment variable with the path of the settings file. */
    public static final String FILE_VARIABLE = "PAPAYAWALK_NODE_FILE";

    /** Default time from the end of trouble until a daemon has the changes of the store. */
    private static final long DEFAULT_MAX_STALENESS_MILLIS = 3000;

    /** Default time from the confirmation of a desired state until a daemon has it. */
    private static final long DEFAULT_MAX_DELAY_MILLIS = 2000;

    /** Default time between SIGTERM and SIGKILL. */
    private static final long DEFAULT_GRACE_SECONDS = 8;

    /** Default time within which a new version of weights must be served. */
    private static final long DEFAULT_VERSION_MILLIS = 8000;

    /** Default retries allowed for each request. */
    private static final double DEFAULT_RETRY_RATIO = 0.2;

    /** Default retries allowed in addition, in one window. */
    private static final double DEFAULT_RETRY_SLACK = 50;

    /** Default length of the sliding window of the retry budget. */
    private static final long DEFAULT_RETRY_WINDOW_SECONDS = 10;

    private static final double DEFAULT_LINK_MEGABITS_PER_SECOND = 1000;

    /** Contract of sites whose operators decide in which places requests are served. */
    private static final String PLACES_CONTRACT = "places";

    /** Contract of sites whose callers compete for too little room at times. */
    private static final String PRESSURE_CONTRACT = "pressure";

    private static final int DEFAULT_DESCRIPTORS = 4096;

    private static final double BITS_PER_MEGABIT = 1e6;

    private ManagedSettingsCodec() {}

    /**
     * Reads a settings file.
     *
     * @param file path of the file
     * @return settings
     * @throws IOException if the file cannot be read or its content is invalid
     */
    public static ManagedSettings read(Path file) throws IOException {
        return decode(Files.readAllBytes(file));
    }

    /**
     * Decodes settings. Optional fields that are absent get their defaults.
     *
     * @param data JSON text
     * @return settings
     * @throws IOException if the text is not a JSON object, lacks a required field or has an
     *     invalid value
     */
    public static ManagedSettings decode(byte[] data) throws IOException {
        JsonNode root = JsonTree.parseObject(data);
        try {
            return settings(root);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid settings: " + e.getMessage(), e);
        }
    }

    // On the wire, "zones" maps failure domains to regions, "front" is the address for callers,
    // "provider" the store, "app" the upstream, and "bootstrap" marks the first start of the
    // system.
    private static ManagedSettings settings(JsonNode root) {
        Map<DomainId, RegionId> regions = new HashMap<>();
        root.path("zones")
                .properties()
                .forEach(
                        e ->
                                regions.put(
                                        new DomainId(e.getKey()),
                                        new RegionId(e.getValue().asText())));
        List<String> seeds = new ArrayList<>();
        root.path("seeds").forEach(s -> seeds.add(s.asText()));
        JsonNode listen = root.path("listen");
        return new ManagedSettings(
                new HostId(required(root, "nodeName").asText()),
                required(root, "ip").asText(),
                new DomainId(required(root, "zone").asText()),
                regions,
                optionalText(listen, "front"),
                optionalText(listen, "ready"),
                optionalText(listen, "control"),
                required(root, "internalPorts").path(0).asInt(),
                seeds,
                root.path("bootstrap").asBoolean(),
                required(required(root, "provider"), "address").asText(),
                optionalText(root, "app"),
                optionalText(root, "service").map(ServiceId::new),
                root.path("limits").path("linkMbps").asDouble(DEFAULT_LINK_MEGABITS_PER_SECOND)
                        * BITS_PER_MEGABIT
                        / Byte.SIZE,
                root.path("limits").path("maxFds").asInt(DEFAULT_DESCRIPTORS),
                contracts(root).contains(PLACES_CONTRACT),
                contracts(root).contains(PRESSURE_CONTRACT),
                operatorLimits(root.path("bounds")));
    }

    private static Set<String> contracts(JsonNode root) {
        Set<String> contracts = new HashSet<>();
        root.path("contracts").forEach(c -> contracts.add(c.asText()));
        return contracts;
    }

    private static OperatorLimits operatorLimits(JsonNode node) {
        return new OperatorLimits(
                Duration.ofMillis(node.path("contactMs").asLong(DEFAULT_MAX_STALENESS_MILLIS)),
                Duration.ofMillis(node.path("configApplyMs").asLong(DEFAULT_MAX_DELAY_MILLIS)),
                Duration.ofSeconds(node.path("graceS").asLong(DEFAULT_GRACE_SECONDS)),
                Duration.ofMillis(node.path("version_ms").asLong(DEFAULT_VERSION_MILLIS)),
                node.path("retryBudgetRatio").asDouble(DEFAULT_RETRY_RATIO),
                node.path("budgetSlack").asDouble(DEFAULT_RETRY_SLACK),
                Duration.ofSeconds(node.path("budgetWindowS").asLong(DEFAULT_RETRY_WINDOW_SECONDS)),
                new ColdBound(
                        Math.max(1, node.path("coldOverage").asDouble(1)),
                        Math.max(0, node.path("coldSlack").asDouble())));
    }

    private static JsonNode required(JsonNode node, String field) {
        if (!node.hasNonNull(field)) {
            throw new IllegalArgumentException("required field \"" + field + "\" is missing");
        }
        return node.get(field);
    }

    private static Optional<String> optionalText(JsonNode node, String field) {
        return node.hasNonNull(field) ? Optional.of(node.get(field).asText()) : Optional.empty();
    }
}
