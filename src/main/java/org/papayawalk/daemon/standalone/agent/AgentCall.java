package org.papayawalk.daemon.standalone.agent;

import java.time.Instant;
import java.util.List;
import org.papayawalk.adapter.standalone.StreamingResponse;
import org.papayawalk.core.admit.Ticket;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.ResponseHead;
import org.papayawalk.wire.proto.UpstreamRequest;

/**
 * Request that an entry sent to this agent, from its arrival until its end message.
 *
 * <p>Thread-safe: the stream and the canceled state are guarded by this object's lock, the values
 * set by {@link #recordForwarded} are volatile.
 */
final class AgentCall {
    private final Envelope message;

    private final PeerServerConnection entry;

    private final Ticket ticket;

    /** Response being read, or null. Guarded by this. */
    private StreamingResponse stream;

    /** Guarded by this. */
    private boolean cancelled;

    /** Null until the request is forwarded. */
    private volatile Instant forwardedAt;

    /** Whether the head of the upstream's response was sent to the entry. */
    private volatile boolean answerBegun;

    /** Incarnation of the upstream that got the request, 0 until the request is forwarded. */
    private volatile long incarnation;

    /**
     * Creates a call that has not been forwarded.
     *
     * @param message message that carried the request
     * @param entry connection to the entry that sent it
     * @param ticket ticket of the call in the admission queue
     */
    AgentCall(Envelope message, PeerServerConnection entry, Ticket ticket) {
        this.message = message;
        this.entry = entry;
        this.ticket = ticket;
    }

    /**
     * Returns the request as the entry sent it.
     *
     * @return request with its headers, body and remaining time
     */
    UpstreamRequest request() {
        return message.getUpstreamRequest();
    }

    /**
     * Returns the number that identifies the call on its connection.
     *
     * @return number chosen by the entry
     */
    long callNumber() {
        return message.getCall();
    }

    /**
     * Returns the connection to the entry that sent the request.
     *
     * @return connection, possibly closed
     */
    PeerServerConnection entry() {
        return entry;
    }

    /**
     * Returns the ticket of the call in the admission queue.
     *
     * @return ticket with team, priority and deadline
     */
    Ticket ticket() {
        return ticket;
    }

    /**
     * Returns whether the call must run at most once.
     *
     * @return true if the request carries an idempotency key
     */
    boolean isNonIdempotent() {
        return !request().getOnceKey().isEmpty();
    }

    /**
     * Sends a message of the response to the entry.
     *
     * @param reply message without its call number
     */
    void send(Envelope.Builder reply) {
        entry.send(reply.setCall(callNumber()).build());
    }

    /**
     * Sends the head of the response, with which the answer begins.
     *
     * @param head head without connection headers
     */
    void sendHead(ResponseHead head) {
        answerBegun = true;
        send(Envelope.newBuilder().setResponseHead(head));
    }

    /**
     * Returns what the entries are told of the request if the upstream crashes while it runs.
     *
     * @return request with the parts of its prompt, without them if its answer has not begun
     */
    RunningRequest running() {
        return new RunningRequest(
                request().getFingerprint(),
                answerBegun ? request().getPromptPartsList() : List.of());
    }

    /**
     * Sends the end message, which must be the last message of the call.
     *
     * @param completion how the call ended
     * @param dataCount number of data messages sent before
     * @param inFlight number of requests in flight at the agent
     * @param queued number of requests queued at the agent
     */
    void sendEnd(CallCompletion completion, long dataCount, int inFlight, int queued) {
        ResponseEnd.Outcome outcome =
                switch (completion.outcome()) {
                    case ANSWERED -> ResponseEnd.Outcome.ANSWERED;
                    case NOT_RUN -> ResponseEnd.Outcome.NOT_RUN;
                    case UNKNOWN -> ResponseEnd.Outcome.UNKNOWN;
                };
        ResponseEnd.Builder message =
                ResponseEnd.newBuilder()
                        .setOutcome(outcome)
                        .setDataCount(dataCount)
                        .setReason(completion.reason())
                        .setRetryAfterMillis((int) completion.retryAfter().toMillis())
                        .setTryElsewhere(completion.retriableElsewhere())
                        .setUpstreamCrashed(completion.upstreamCrashed())
                        .setUpstreamIncarnation(incarnation)
                        .setInFlight(inFlight)
                        .setQueued(queued);
        send(Envelope.newBuilder().setResponseEnd(message));
    }

    /**
     * Records that the request is about to be sent to the upstream.
     *
     * @param upstreamIncarnation incarnation of the upstream
     * @param now present time
     */
    void recordForwarded(long upstreamIncarnation, Instant now) {
        incarnation = upstreamIncarnation;
        forwardedAt = now;
    }

    /**
     * Returns the incarnation of the upstream that the request was forwarded to.
     *
     * @return incarnation, 0 if the request was not forwarded
     */
    long incarnation() {
        return incarnation;
    }

    /**
     * Returns when the request was forwarded.
     *
     * @return time, or null if the request was not forwarded
     */
    Instant forwardedAt() {
        return forwardedAt;
    }

    /**
     * Attaches the response stream, so that {@link #cancel} can close it. Closes it at once if the
     * call is canceled already.
     *
     * @param response response of the upstream
     */
    synchronized void attachStream(StreamingResponse response) {
        stream = response;
        if (cancelled) {
            response.close();
        }
    }

    /**
     * Cancels the call and closes its response stream. Has no effect on a non-idempotent call,
     * whose response must still be read and stored.
     */
    void cancel() {
        if (isNonIdempotent()) {
            return;
        }
        synchronized (this) {
            cancelled = true;
            if (stream != null) {
                stream.close();
            }
        }
    }

    /**
     * Returns whether the call was canceled.
     *
     * @return true after {@link #cancel} of an idempotent call
     */
    synchronized boolean isCancelled() {
        return cancelled;
    }
}
