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

/** Asks daemons for their state. Holds no changeable state. */
final class StatusClient {
    /** Longest wait for a daemon. */
    private static final Duration LIMIT = Duration.ofSeconds(2);

    /** Client for daemons. */
    private final PeerClient peers;

    /**
     * Creates a client.
     *
     * @param peers client for daemons
     */
    StatusClient(PeerClient peers) {
        this.peers = peers;
    }

    /**
     * Asks all hosts at once.
     *
     * @param hosts hosts to ask
     * @param accepted version of the accepted configuration
     * @return one state for each host, in the same order
     */
    List<HostStatus> ask(List<HostRecord> hosts, long accepted) {
        List<CompletableFuture<HostStatus>> answers = new ArrayList<>();
        for (HostRecord h : hosts) {
            Envelope.Builder query =
                    Envelope.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
            answers.add(
                    peers.request(h.address(), TrafficClass.LIVE, query, LIMIT)
                            .thenApply(answer -> status(h, answer, accepted)));
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    /**
     * Makes the state of a host.
     *
     * @param host line of the host list
     * @param answer answer of its daemon, or a fault
     * @param accepted version of the accepted configuration
     * @return state
     */
    private static HostStatus status(
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
        boolean version = self.getConfigVersion() == accepted;
        boolean serves =
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
                version && serves,
                report.getNotesList());
    }
}
