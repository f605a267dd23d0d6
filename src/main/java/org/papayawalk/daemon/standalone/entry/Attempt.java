package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.core.stream.SequenceChecker;
import org.papayawalk.wire.PeerCall;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.ReplyListener;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.UpstreamRequest;

/**
 * One dispatch of a request to one agent. Messages are taken by one thread; the listener's methods
 * run on event loops. A reader that falls too far behind loses the call rather than memory.
 */
final class Attempt implements ReplyListener {
    /** Messages that may wait for the reader. */
    private static final int MAX_WAITING = 4096;

    /** Time between looks at the agent's liveness while nothing arrives. */
    private static final Duration LIVENESS_INTERVAL = Duration.ofMillis(250);

    /** Agent. */
    private final RouteCandidate candidate;

    /** Tells whether the agent is heard. */
    private final LivenessCheck liveness;

    /** Clock. */
    private final InstantSource clock;

    /** Messages that wait for the reader. */
    private final BlockingQueue<Result> items = new ArrayBlockingQueue<>(MAX_WAITING);

    /** Order of the data messages. */
    private final SequenceChecker order = new SequenceChecker();

    /** Call, once it was sent. */
    private CompletableFuture<PeerCall> call;

    /** Whether the queue overflowed. */
    private volatile boolean overflowed;

    /**
     * Creates an attempt.
     *
     * @param candidate agent
     * @param liveness tells whether the agent is heard
     * @param clock clock
     */
    Attempt(RouteCandidate candidate, LivenessCheck liveness, InstantSource clock) {
        this.candidate = candidate;
        this.liveness = liveness;
        this.clock = clock;
    }

    /** Tells whether a host is heard. */
    interface LivenessCheck {
        /**
         * Tells whether the agent of a candidate was heard lately.
         *
         * @param candidate agent
         * @param now present time
         * @return false if it is silent
         */
        boolean heard(RouteCandidate candidate, Instant now);
    }

    /**
     * Sends the request.
     *
     * @param client client for peers
     * @param request request
     */
    void send(PeerClient client, UpstreamRequest.Builder request) {
        Envelope.Builder message = Envelope.newBuilder().setUpstreamRequest(request);
        call = client.openCall(candidate.address(), TrafficClass.LIVE, message, this);
    }

    /**
     * Takes the next message.
     *
     * @param deadline time after which to give up
     * @return a reply, or the reason why there is none
     * @throws InterruptedException if the thread is interrupted
     */
    Result next(Instant deadline) throws InterruptedException {
        while (true) {
            Result item = items.poll(LIVENESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            if (item != null) {
                return checked(item);
            }
            Instant now = clock.instant();
            if (overflowed) {
                return lost("the caller reads too slowly");
            }
            if (!now.isBefore(deadline)) {
                return new Result(null, null, true);
            }
            if (!liveness.heard(candidate, now)) {
                return lost("the agent is silent");
            }
        }
    }

    /** Tells the agent to stop. */
    void cancel() {
        call.thenAccept(PeerCall::cancel);
    }

    /** Forgets the call, whose end was taken. */
    void end() {
        call.thenAccept(PeerCall::removeListener);
    }

    /**
     * Returns the agent.
     *
     * @return candidate that was chosen
     */
    RouteCandidate candidate() {
        return candidate;
    }

    @Override
    public void onReply(Envelope message) {
        if (!items.offer(new Result(message, null, false))) {
            overflowed = true;
        }
    }

    @Override
    public void onFailure(Fault fault) {
        if (!items.offer(new Result(null, fault, false))) {
            overflowed = true;
        }
    }

    /**
     * Checks the order of the data messages.
     *
     * @param item item taken
     * @return the item, or a loss if a message is missing
     */
    private Result checked(Result item) {
        Envelope m = item.message();
        if (m == null) {
            return item;
        }
        if (m.hasResponseData() && !order.accept(m.getResponseData().getSequence())) {
            return lost("a part of the answer is missing");
        }
        boolean answered =
                m.hasResponseEnd()
                        && m.getResponseEnd().getOutcome() == ResponseEnd.Outcome.ANSWERED;
        if (answered && !order.complete(m.getResponseEnd().getDataCount())) {
            return lost("the end of the answer is missing");
        }
        return item;
    }

    /**
     * Makes the item of a lost call.
     *
     * @param reason what happened
     * @return the item
     */
    private Result lost(String reason) {
        String peer = candidate.host().value();
        return new Result(null, new Fault(FaultKind.UNKNOWN_OUTCOME, "await", peer, reason), false);
    }

    /**
     * Reply, loss or timeout. Immutable.
     *
     * @param message reply, or null
     * @param fault loss, or null
     * @param timedOut whether the deadline passed
     */
    record Result(Envelope message, Fault fault, boolean timedOut) {}
}
