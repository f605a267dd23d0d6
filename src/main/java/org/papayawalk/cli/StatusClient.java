package org.papayawalk.cli;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;
import org.papayawalk.wire.proto.StatusQuery;
import org.papayawalk.wire.proto.StatusReport;

/** Queries daemons for their state. Immutable. */
final class StatusClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final PeerClient peers;

    /**
     * Creates a client.
     *
     * @param peers client for connections to daemons
     */
    StatusClient(PeerClient peers) {
        this.peers = peers;
    }

    /**
     * Queries all hosts in parallel and waits for all responses. A host that does not respond
     * before the timeout is reported as not reached.
     *
     * @param hosts hosts to query
     * @param accepted version of the accepted configuration, negative if unknown
     * @return one state per host, in the order of {@code hosts}
     */
    List<HostStatus> queryAll(List<HostRecord> hosts, long accepted) {
        List<CompletableFuture<HostStatus>> answers = new ArrayList<>();
        for (HostRecord h : hosts) {
            Envelope.Builder query =
                    Envelope.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
            answers.add(
                    peers.request(h.address(), TrafficClass.LIVE, query, REQUEST_TIMEOUT)
                            .thenApply(answer -> toHostStatus(h, answer, accepted)));
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private static HostStatus toHostStatus(
            HostRecord host, Either<Fault, Envelope> answer, long accepted) {
        String role = host.role().name().toLowerCase(Locale.ROOT);
        if (answer.isLeft()) {
            List<String> notes = List.of(answer.getLeft().toString());
            return new HostStatus(
                    host.host().value(),
                    host.domain().value(),
                    role,
                    host.fleet(),
                    false,
                    0,
                    "",
                    "",
                    "unknown",
                    0,
                    0,
                    0,
                    false,
                    false,
                    notes);
        }
        StatusReport report = answer.get().getStatusReport();
        Heartbeat self = report.getSelf();
        boolean configInForce = self.getConfigVersion() == accepted;
        boolean servesWanted =
                host.role() == HostRole.ENTRY
                        || (self.getRolloutStep().equals("SERVING")
                                && self.getServingDigest().equals(self.getWantedDigest()));
        return new HostStatus(
                host.host().value(),
                host.domain().value(),
                role,
                host.fleet(),
                true,
                self.getConfigVersion(),
                self.getWantedDigest(),
                self.getServingDigest(),
                self.getRolloutStep().toLowerCase(Locale.ROOT),
                self.getChunksHeld(),
                self.getChunksTotal(),
                self.getInFlight(),
                self.getDraining(),
                configInForce && servesWanted,
                report.getNotesList());
    }
}
