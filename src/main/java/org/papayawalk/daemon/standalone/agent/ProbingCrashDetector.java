package org.papayawalk.daemon.standalone.agent;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.papayawalk.core.Fault;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.log.Event;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.CrashNotice;
import org.papayawalk.wire.proto.Envelope;

/**
 * Detects crashes of the upstream by a health probe, and notifies the entries of the requests that
 * were running, since one of them may be a poison request. Each crash is announced once.
 *
 * <p>Thread-safe.
 */
final class ProbingCrashDetector implements CrashDetector {
    private final Node node;

    private final UpstreamProbe probe;

    private final Supplier<List<String>> runningFingerprints;

    private final AtomicLong reportedIncarnation = new AtomicLong();

    /** Incarnation whose crash was announced last. */
    private final AtomicLong announcedCrash = new AtomicLong();

    /**
     * Creates a detector.
     *
     * @param node services shared by the parts of the daemon
     * @param probe health probe of the upstream
     * @param runningFingerprints provides the fingerprints of the requests in flight to the
     *     upstream
     */
    ProbingCrashDetector(
            Node node, UpstreamProbe probe, Supplier<List<String>> runningFingerprints) {
        this.node = node;
        this.probe = probe;
        this.runningFingerprints = runningFingerprints;
    }

    /**
     * Records the incarnation that the upstream reported.
     *
     * @param incarnation incarnation of the upstream
     */
    void recordIncarnation(long incarnation) {
        reportedIncarnation.set(incarnation);
    }

    @Override
    public long lastIncarnation() {
        return reportedIncarnation.get();
    }

    @Override
    public boolean detectCrash(long incarnation) {
        Either<Fault, UpstreamState> state = probe.query();
        if (state.isRight() && state.get().incarnation() == incarnation) {
            return false;
        }
        if (announcedCrash.getAndSet(incarnation) != incarnation) {
            Event.named("upstream-crashed").with("incarnation", incarnation).warn();
            runningFingerprints
                    .get()
                    .forEach(fingerprint -> notifyEntries(fingerprint, incarnation));
        }
        return true;
    }

    private void notifyEntries(String fingerprint, long incarnation) {
        CrashNotice notice =
                CrashNotice.newBuilder()
                        .setFingerprint(fingerprint)
                        .setHost(node.self().host().value())
                        .setUpstreamIncarnation(incarnation)
                        .build();
        Envelope message = Envelope.newBuilder().setCrashNotice(notice).build();
        node.members().stream()
                .filter(m -> m.record().role() == HostRole.ENTRY)
                .filter(m -> m.presumedAlive(node.clock().instant()))
                .forEach(
                        m ->
                                node.client()
                                        .sendOneWay(
                                                m.record().address(), TrafficClass.LIVE, message));
    }
}
