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

/** Finds crashes of the upstream by its incarnation and tells entries what was running. */
final class ProbingCrashDetector implements CrashDetector {
    /** Node. */
    private final Node node;

    /** Asks the upstream for its state. */
    private final UpstreamProbe probe;

    /** Fingerprints of the requests that run. */
    private final Supplier<List<String>> running;

    /** Incarnation that the upstream last reported. */
    private final AtomicLong incarnation = new AtomicLong();

    /** Incarnation whose crash was last told to entries. */
    private final AtomicLong told = new AtomicLong();

    /**
     * Creates a watch.
     *
     * @param node node
     * @param probe asks the upstream for its state
     * @param running fingerprints of the requests that run
     */
    ProbingCrashDetector(Node node, UpstreamProbe probe, Supplier<List<String>> running) {
        this.node = node;
        this.probe = probe;
        this.running = running;
    }

    /**
     * Takes the upstream's report.
     *
     * @param now incarnation that it reported
     */
    void reported(long now) {
        incarnation.set(now);
    }

    @Override
    public long incarnation() {
        return incarnation.get();
    }

    @Override
    public boolean crashed(long before) {
        Either<Fault, UpstreamState> state = probe.ask();
        if (state.isRight() && state.get().incarnation() == before) {
            return false;
        }
        if (told.getAndSet(before) != before) {
            Event.named("upstream-crashed").with("incarnation", before).warn();
            running.get().forEach(fingerprint -> tell(fingerprint, before));
        }
        return true;
    }

    /**
     * Tells entries of a request that was running.
     *
     * @param fingerprint fingerprint of the request
     * @param before incarnation that crashed
     */
    private void tell(String fingerprint, long before) {
        CrashNotice notice =
                CrashNotice.newBuilder()
                        .setFingerprint(fingerprint)
                        .setHost(node.self().host().value())
                        .setUpstreamIncarnation(before)
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
