package org.papayawalk.adapter.standalone;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.log.Event;

/**
 * Reads the host list record by record, so that a record that names no host to use hides no other
 * one. Stateless; thread-safe.
 */
public final class HostListCodec {

    private HostListCodec() {}

    /**
     * Reads a host list.
     *
     * @param data UTF-8 text of a JSON array
     * @return records that can be used, in the order of the text
     * @throws IOException if the text is not a JSON array
     */
    public static List<HostRecord> read(byte[] data) throws IOException {
        JsonNode root = Json.read(data, JsonNode.class);
        if (!root.isArray()) {
            throw new IOException("the host list is not a JSON array");
        }
        List<HostRecord> records = new ArrayList<>();
        root.forEach(node -> decode(node).ifPresent(records::add));
        if (records.size() < root.size()) {
            Event.named("host-records-unreadable")
                    .with("count", root.size() - records.size())
                    .warn();
        }
        return records;
    }

    private static Optional<HostRecord> decode(JsonNode node) {
        try {
            HostRecord record = Json.convert(node, HostRecord.class);
            return isUsable(record) ? Optional.of(record) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static boolean isUsable(HostRecord record) {
        return record != null
                && record.host() != null
                && record.domain() != null
                && record.region() != null
                && record.role() != null
                && record.state() != null
                && (Addresses.isIpAndPort(record.address())
                        || Addresses.isIpv6AndPort(record.address()));
    }
}
