package org.papayawalk.daemon.standalone.agent;

import java.time.Instant;
import org.papayawalk.adapter.standalone.StreamingResponse;
import org.papayawalk.core.admit.Ticket;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ResponseEnd;
import org.papayawalk.wire.proto.UpstreamRequest;

/** Request of an entry at the agent. Thread-safe. */
final class AgentCall {
    /** Message that carried the request. */
    private final Envelope message;

    /** Connection to the entry. */
    private final PeerServerConnection entry;

    /** Place in the admission. */
    private final Ticket ticket;

    /** Answer that is being read, or null. */
    private StreamingResponse stream;

    /** Whether the caller has gone. */
    private boolean cancelled;

    /** When the request was forwarded, or null. */
    private volatile Instant forwardedAt;

    /** Incarnation of the upstream that it was forwarded to. */
    private volatile long incarnation;

    /**
     * Creates a call.
     *
     * @param message message that carried the request
     * @param entry connection to the entry
     * @param ticket place in the admission
     */
    AgentCall(Envelope message, PeerServerConnection entry, Ticket ticket) {
        this.message = message;
        this.entry = entry;
        this.ticket = ticket;
    }

    /**
     * Returns the request.
     *
     * @return request of the entry
     */
    UpstreamRequest request() {
        return message.getUpstreamRequest();
    }

    /**
     * Returns the number of the call on its connection.
     *
     * @return number
     */
    long number() {
        return message.getCall();
    }

    /**
     * Returns the connection to the entry.
     *
     * @return connection
     */
    PeerServerConnection entry() {
        return entry;
    }

    /**
     * Returns the place in the admission.
     *
     * @return ticket
     */
    Ticket ticket() {
        return ticket;
    }

    /**
     * Tells whether the call may run at most once.
     *
     * @return true for a non-idempotent call
     */
    boolean once() {
        return !request().getOnceKey().isEmpty();
    }

    /**
     * Sends a reply.
     *
     * @param reply reply without its call number
     */
    void send(Envelope.Builder reply) {
        entry.send(reply.setCall(number()).build());
    }

    /**
     * Sends the end of the call.
     *
     * @param end its end
     * @param dataCount data messages sent before
     * @param inFlight requests that run at the agent now
     * @param queued requests that wait at the agent now
     */
    void end(CallCompletion end, long dataCount, int inFlight, int queued) {
        ResponseEnd.Outcome outcome =
                switch (end.outcome()) {
                    case ANSWERED -> ResponseEnd.Outcome.ANSWERED;
                    case NOT_RUN -> ResponseEnd.Outcome.NOT_RUN;
                    case UNKNOWN -> ResponseEnd.Outcome.UNKNOWN;
                };
        ResponseEnd.Builder message =
                ResponseEnd.newBuilder()
                        .setOutcome(outcome)
                        .setDataCount(dataCount)
                        .setReason(end.reason())
                        .setRetryAfterMillis((int) end.retryAfter().toMillis())
                        .setTryElsewhere(end.elsewhere())
                        .setUpstreamCrashed(end.crashed())
                        .setUpstreamIncarnation(incarnation)
                        .setInFlight(inFlight)
                        .setQueued(queued);
        send(Envelope.newBuilder().setResponseEnd(message));
    }

    /**
     * Notes that the request is being forwarded.
     *
     * @param upstreamIncarnation incarnation of the upstream
     * @param now present time
     */
    void forwarded(long upstreamIncarnation, Instant now) {
        incarnation = upstreamIncarnation;
        forwardedAt = now;
    }

    /**
     * Returns the incarnation of the upstream that the request was forwarded to.
     *
     * @return incarnation, 0 if it was not forwarded
     */
    long incarnation() {
        return incarnation;
    }

    /**
     * Returns when the request was forwarded.
     *
     * @return time, or null if it was not
     */
    Instant forwardedAt() {
        return forwardedAt;
    }

    /**
     * Notes the answer that is being read, so that it can be broken off.
     *
     * @param answer answer
     */
    synchronized void reading(StreamingResponse answer) {
        stream = answer;
        if (cancelled) {
            answer.close();
        }
    }

    /** Breaks the call off. A non-idempotent call goes on, so that its answer is kept. */
    void cancel() {
        if (once()) {
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
     * Tells whether the call was broken off.
     *
     * @return true if it was
     */
    synchronized boolean cancelled() {
        return cancelled;
    }
}
