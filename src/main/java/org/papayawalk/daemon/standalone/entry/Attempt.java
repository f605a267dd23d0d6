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
 * One dispatch of a request to one agent. Event loop threads add the replies of the agent to a
 * bounded buffer; a single thread takes them by {@link #next}. If the buffer overflows, the attempt
 * fails, so that a slow caller cannot exhaust the memory of the entry.
 */
final class Attempt implements ReplyListener {
    private static final int MAX_BUFFERED_MESSAGES = 4096;

    /** Interval of liveness checks while no reply arrives. */
    private static final Duration LIVENESS_CHECK_INTERVAL = Duration.ofMillis(250);

    private final RouteCandidate candidate;
    private final LivenessCheck livenessCheck;
    private final InstantSource clock;
    private final BlockingQueue<Result> results = new ArrayBlockingQueue<>(MAX_BUFFERED_MESSAGES);
    private final SequenceChecker dataOrder = new SequenceChecker();

    // Set by send().
    private CompletableFuture<PeerCall> call;

    private volatile boolean overflowed;

    // Whether the head of the response was taken.
    private boolean headReceived;

    // Replies taken after the deadline; those that are ready by then may still be delivered.
    private int lateReplies;

    /**
     * Creates an attempt. {@link #send} starts it.
     *
     * @param candidate agent to send the request to
     * @param livenessCheck check applied while no reply arrives
     * @param clock clock that deadlines are compared with
     */
    Attempt(RouteCandidate candidate, LivenessCheck livenessCheck, InstantSource clock) {
        this.candidate = candidate;
        this.livenessCheck = livenessCheck;
        this.clock = clock;
    }

    /** Checks the liveness of an agent. */
    interface LivenessCheck {
        /**
         * Checks whether a recent heartbeat of an agent was received.
         *
         * @param candidate agent to check
         * @param now present time
         * @return false if the agent is presumed down
         */
        boolean isAlive(RouteCandidate candidate, Instant now);
    }

    /**
     * Sends the request. Must be called once, before any other method.
     *
     * @param client client that opens the call to the agent
     * @param request message to send
     */
    void send(PeerClient client, UpstreamRequest.Builder request) {
        Envelope.Builder message = Envelope.newBuilder().setUpstreamRequest(request);
        call = client.openCall(candidate.address(), TrafficClass.LIVE, message, this);
    }

    /**
     * Waits for the next reply.
     *
     * @param deadline time at which the wait ends with a timeout
     * @return a reply, a fault or a timeout; after a fault or a timeout the attempt has failed
     * @throws InterruptedException if the thread is interrupted
     */
    Result next(Instant deadline) throws InterruptedException {
        while (true) {
            Instant now = clock.instant();
            boolean late = !now.isBefore(deadline);
            Result result = poll(late ? Duration.ZERO : LIVENESS_CHECK_INTERVAL);
            boolean endless = late && ++lateReplies > MAX_BUFFERED_MESSAGES;
            if (result != null && !endless) {
                return verifyOrder(result);
            }
            if (overflowed) {
                return lost(
                        "caller reads too slowly: buffer of %d messages is full"
                                .formatted(MAX_BUFFERED_MESSAGES));
            }
            if (late) {
                return new Result(null, null, true);
            }
            if (!livenessCheck.isAlive(candidate, now)) {
                return lost("no recent heartbeat from the agent");
            }
        }
    }

    /** Asks the agent to stop work on the request, and ignores further replies. */
    void cancel() {
        call.thenAccept(PeerCall::cancel);
    }

    /** Releases the call after its last reply. */
    void end() {
        call.thenAccept(PeerCall::removeListener);
    }

    /**
     * Returns the agent that the request is sent to.
     *
     * @return candidate chosen for this attempt
     */
    RouteCandidate candidate() {
        return candidate;
    }

    @Override
    public void onReply(Envelope message) {
        if (!results.offer(new Result(message, null, false))) {
            overflowed = true;
        }
    }

    @Override
    public void onFailure(Fault fault) {
        if (!results.offer(new Result(null, fault, false))) {
            overflowed = true;
        }
    }

    // Returns null if no reply arrives in time.
    private Result poll(Duration wait) throws InterruptedException {
        return results.poll(wait.toMillis(), TimeUnit.MILLISECONDS);
    }

    // Replaces a reply by a fault if messages before it are missing.
    private Result verifyOrder(Result result) {
        Envelope m = result.message();
        if (m == null) {
            return result;
        }
        if (m.hasResponseData() && !dataOrder.accept(m.getResponseData().getSequence())) {
            return lost(
                    "response data out of order: got message %d, expected %d"
                            .formatted(
                                    m.getResponseData().getSequence(), dataOrder.acceptedCount()));
        }
        headReceived |= m.hasResponseHead();
        boolean answered =
                m.hasResponseEnd()
                        && m.getResponseEnd().getOutcome() == ResponseEnd.Outcome.ANSWERED;
        if (answered && !headReceived) {
            return lost("response ended without its head");
        }
        if (answered && !dataOrder.isComplete(m.getResponseEnd().getDataCount())) {
            return lost(
                    "response truncated: got %d of %d data messages"
                            .formatted(
                                    dataOrder.acceptedCount(), m.getResponseEnd().getDataCount()));
        }
        return result;
    }

    private Result lost(String reason) {
        String peer = candidate.host().value();
        return new Result(null, new Fault(FaultKind.UNKNOWN_OUTCOME, "await", peer, reason), false);
    }

    /**
     * Result of one wait: a reply, a fault or a timeout. Immutable.
     *
     * @param message reply, or null for a fault or a timeout
     * @param fault reason why no further reply will arrive, or null
     * @param timedOut whether the deadline passed without a reply
     */
    record Result(Envelope message, Fault fault, boolean timedOut) {}
}
