package org.papayawalk.daemon.standalone;

import com.google.protobuf.ByteString;
import java.util.List;
import org.papayawalk.adapter.standalone.ConfigCodec;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.config.Configuration;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.Member;
import org.papayawalk.wire.proto.ConfigDocument;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.HostsDocument;

/** Builds messages that carry a serialized document. Stateless and thread-safe. */
final class DocumentMessages {
    private DocumentMessages() {}

    /**
     * Builds the reply to a configuration query, which is also pushed to neighbors.
     *
     * @param configuration configuration to send
     * @return message without a call number
     */
    static Envelope.Builder of(Configuration configuration) {
        ConfigDocument.Builder document =
                ConfigDocument.newBuilder()
                        .setVersion(configuration.version().number())
                        .setDocument(ByteString.copyFrom(ConfigCodec.write(configuration)));
        return Envelope.newBuilder().setConfigDocument(document);
    }

    /**
     * Builds the reply to a query for the known hosts.
     *
     * @param members known hosts
     * @return message without a call number
     */
    static Envelope.Builder of(List<Member> members) {
        List<HostRecord> records = members.stream().map(Member::record).toList();
        HostsDocument.Builder document =
                HostsDocument.newBuilder().setDocument(ByteString.copyFrom(Json.write(records)));
        return Envelope.newBuilder().setHostsDocument(document);
    }
}
