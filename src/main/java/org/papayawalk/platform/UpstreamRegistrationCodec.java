package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Decodes the rows in which servers register themselves. On the wire, {@code born} is the
 * incarnation, {@code zone} the failure domain and {@code slots} the number of requests executed
 * concurrently. Stateless; thread-safe.
 */
public final class UpstreamRegistrationCodec {

    /** Far above what one server runs; sums over all servers stay in range. */
    private static final int MAX_SLOTS = 1_000_000;

    /** Time by which the clocks of two hosts never differ. */
    private static final Duration MAX_CLOCK_DIFFERENCE = Duration.ofDays(1);

    /** Far above the time for which a process is cold. */
    private static final Duration MAX_COLD_TIME = Duration.ofHours(1);

    /** Ids are sent in headers. */
    private static final Pattern ID_FORMAT = Pattern.compile("[!-~]{1,200}");

    private UpstreamRegistrationCodec() {}

    /**
     * Decodes the key of a row of the server table.
     *
     * @param key key of the row
     * @return id of the upstream, empty if it is no visible ASCII text or too long
     */
    public static Optional<UpstreamId> decodeId(String key) {
        return ID_FORMAT.matcher(key).matches()
                ? Optional.of(new UpstreamId(key))
                : Optional.empty();
    }

    /**
     * Decodes a row of the server table. Rows that cannot be used are expected, since other
     * programs write to the same table.
     *
     * @param id id of the upstream, from the key of the row
     * @param data content of the row, JSON text
     * @param timeOfDay present time of day; a process that starts a day later or more is not valid
     * @param now present time by the clock of this daemon, from which the rest of the time counts
     *     in which the upstream is cold
     * @return the registration, empty if the row is not a valid registration
     */
    public static Optional<UpstreamRegistration> decode(
            UpstreamId id, byte[] data, Instant timeOfDay, Instant now) {
        try {
            JsonNode root = JsonTree.parseObject(data);
            long lastStart = timeOfDay.plus(MAX_CLOCK_DIFFERENCE).toEpochMilli();
            String state = root.path("state").asText();
            boolean validState = "ready".equals(state) || "draining".equals(state);
            boolean validFields =
                    root.path("service").isTextual()
                            && root.path("address").isTextual()
                            && root.path("zone").isTextual()
                            && isAbsentOrInRange(root.path("sequence"), Long.MAX_VALUE)
                            && isAbsentOrInRange(root.path("born"), lastStart);
            OptionalLong slots = JsonTree.wholeNumber(root.path("slots"), 1, MAX_SLOTS);
            String address = root.path("address").asText();
            if (!validState || !validFields || slots.isEmpty() || !Addresses.isIpAndPort(address)) {
                return Optional.empty();
            }
            return Optional.of(
                    new UpstreamRegistration(
                            id,
                            root.path("born").asLong(),
                            new ServiceId(root.path("service").asText()),
                            address,
                            new DomainId(root.path("zone").asText()),
                            (int) slots.getAsLong(),
                            "draining".equals(state),
                            versionsByModel(root),
                            coldUntil(root, now)));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    // A row without a usable figure is one of an upstream that is not cold.
    private static Instant coldUntil(JsonNode root, Instant now) {
        OptionalLong millis =
                JsonTree.wholeNumber(root.path("coldRemainingMs"), 1, MAX_COLD_TIME.toMillis());
        return millis.isPresent() ? now.plusMillis(millis.getAsLong()) : Instant.MIN;
    }

    private static boolean isAbsentOrInRange(JsonNode node, long max) {
        return node.isMissingNode() || JsonTree.wholeNumber(node, 0, max).isPresent();
    }

    /**
     * Decodes the versions of the models that a server holds. Items without a name or with a
     * version that is not an integer are skipped.
     *
     * @param root registration or report of a server
     * @return version by name of the model
     * @throws IOException if a version is out of range
     */
    static Map<String, Integer> versionsByModel(JsonNode root) throws IOException {
        Map<String, Integer> models = new HashMap<>();
        for (JsonNode m : root.path("models")) {
            JsonNode version = m.path("version");
            if (m.path("name").isTextual() && version.isIntegralNumber()) {
                long number =
                        JsonTree.wholeNumber(version, 0, Integer.MAX_VALUE)
                                .orElseThrow(() -> new IOException("weight version out of range"));
                models.put(m.path("name").asText(), (int) number);
            }
        }
        return models;
    }
}
