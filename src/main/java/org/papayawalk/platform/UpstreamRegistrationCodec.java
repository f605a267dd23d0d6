package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
     * @return the registration, empty if the row is not a valid registration
     */
    public static Optional<UpstreamRegistration> decode(UpstreamId id, byte[] data) {
        try {
            JsonNode root = JsonTree.parseObject(data);
            JsonNode state = root.path("state");
            boolean validState =
                    "ready".equals(state.asText()) || "draining".equals(state.asText());
            boolean validFields =
                    root.path("service").isTextual()
                            && root.path("address").isTextual()
                            && root.path("zone").isTextual()
                            && root.path("slots").isIntegralNumber()
                            && root.path("slots").asInt() > 0
                            && (root.path("born").isMissingNode()
                                    || root.path("born").isIntegralNumber());
            if (!validState
                    || !validFields
                    || !Addresses.isIpAndPort(root.path("address").asText())) {
                return Optional.empty();
            }
            return Optional.of(
                    new UpstreamRegistration(
                            id,
                            root.path("born").asLong(),
                            new ServiceId(root.path("service").asText()),
                            root.path("address").asText(),
                            new DomainId(root.path("zone").asText()),
                            root.path("slots").asInt(),
                            "draining".equals(state.asText()),
                            versionsByModel(root)));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decodes the versions of the models that a server holds. Items without a name or with a
     * version that is not an integer are skipped.
     *
     * @param root registration or report of a server
     * @return version by name of the model
     */
    static Map<String, Integer> versionsByModel(JsonNode root) {
        Map<String, Integer> models = new HashMap<>();
        for (JsonNode m : root.path("models")) {
            if (m.path("name").isTextual() && m.path("version").isIntegralNumber()) {
                models.put(m.path("name").asText(), m.path("version").asInt());
            }
        }
        return models;
    }
}
