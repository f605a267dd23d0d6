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

    private final Supplier<List<RunningRequest>> runningRequests;

    private final AtomicLong reportedIncarnation = new AtomicLong();

    /** Incarnation whose crash was announced last. */
    private final AtomicLong announcedCrash = new AtomicLong();

    /**
     * Creates a detector.
     *
     * @param node services shared by the parts of the daemon
     * @param probe health probe of the upstream
     * @param runningRequests provides the requests in flight to the upstream
     */
    ProbingCrashDetector(
            Node node, UpstreamProbe probe, Supplier<List<RunningRequest>> runningRequests) {
        this.node = node;
        this.probe = probe;
        this.runningRequests = runningRequests;
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
        // Requests sent before the next regular probe belong to the new process.
        state.peek(s -> recordIncarnation(s.incarnation()));
        if (announcedCrash.getAndSet(incarnation) != incarnation) {
            Event.named("upstream-crashed").with("incarnation", incarnation).warn();
            runningRequests.get().forEach(r -> notifyEntries(r, incarnation));
        }
        return true;
    }

    private void notifyEntries(RunningRequest request, long incarnation) {
        CrashNotice notice =
                CrashNotice.newBuilder()
                        .setFingerprint(request.fingerprint())
                        .addAllPromptParts(request.promptParts())
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
