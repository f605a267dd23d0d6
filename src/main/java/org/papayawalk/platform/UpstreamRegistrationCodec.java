package org.papayawalk.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.upstream.UpstreamRegistration;

/** Reads the entries that servers write of themselves. Holds no state; safe from any thread. */
public final class UpstreamRegistrationCodec {

    /** Prevents instances. */
    private UpstreamRegistrationCodec() {}

    /**
     * Decodes an entry. Other writers may leave entries there that name no upstream.
     *
     * @param key key of the row
     * @param data bytes of the row
     * @return the upstream, empty if the entry names none that can be used
     */
    public static Optional<UpstreamRegistration> decode(String key, byte[] data) {
        try {
            JsonNode root = JsonTree.parseObject(data);
            JsonNode state = root.path("state");
            boolean known = "ready".equals(state.asText()) || "draining".equals(state.asText());
            boolean typed =
                    root.path("service").isTextual()
                            && root.path("address").isTextual()
                            && root.path("zone").isTextual()
                            && root.path("slots").isIntegralNumber()
                            && root.path("slots").asInt() > 0
                            && (root.path("born").isMissingNode()
                                    || root.path("born").isIntegralNumber());
            if (!known || !typed || !isIpAndPort(root.path("address").asText())) {
                return Optional.empty();
            }
            return Optional.of(
                    new UpstreamRegistration(
                            new UpstreamId(key),
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
     * Decodes the models that a server holds.
     *
     * @param root entry or report of a server
     * @return version by model
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

    /**
     * Tells whether a text is an IP number and port.
     *
     * @param address text to check
     * @return true if it is
     */
    private static boolean isIpAndPort(String address) {
        return address.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    }
}
