package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.papayawalk.core.call.CallFacts;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.platform.CallHeaders;

/**
 * End of an exchange: its one final answer, its deadline, and the record of it. Whatever comes
 * after the end changes nothing. Confined to the traffic thread.
 */
final class ExchangeCompletion {
    /** Status in the log of a request whose caller left. */
    private static final int CLIENT_CLOSED_REQUEST = 499;

    /** When a caller may come back whose time was over. */
    private static final Duration DEADLINE_RETRY_AFTER = Duration.ofSeconds(1);

    /** What all exchanges share. */
    private final EntryContext entry;

    /** Connection of the caller. */
    private final CallerHandler caller;

    /** Request. */
    private final CallerRequest request;

    /** What the caller states. */
    private final CallFacts facts;

    /** Streamed answer to the caller. */
    private final CallerStream stream;

    /** Ends what is under way at an upstream. */
    private final Consumer<AttemptResult> abandonAttempt;

    /** Upstreams that the request was sent to. */
    private final AttemptHistory attempts;

    /** Request as admitted; null before it was. */
    private AuthorizedRequest call;

    /** Ends the request at its deadline; null before it was admitted. */
    private ScheduledFuture<?> deadlineTimer;

    /** When a whole answer came; null before. */
    private Instant responseReceivedAt;

    /** Whether the request is over. */
    private boolean completed;

    /** Why the request was not answered by its first upstream, for the log. */
    private String reason = "";

    /**
     * Creates the end of an exchange that goes on.
     *
     * @param entry what all exchanges share
     * @param caller connection of the caller
     * @param request request
     * @param facts what the caller states
     * @param stream streamed answer to the caller
     * @param sentTo upstreams that the request was sent to
     * @param stopSending ends what is under way at an upstream
     */
    ExchangeCompletion(
            EntryContext entry,
            CallerHandler caller,
            CallerRequest request,
            CallFacts facts,
            CallerStream stream,
            AttemptHistory sentTo,
            Consumer<AttemptResult> stopSending) {
        this.entry = entry;
        this.caller = caller;
        this.request = request;
        this.facts = facts;
        this.stream = stream;
        this.attempts = sentTo;
        this.abandonAttempt = stopSending;
    }

    /**
     * Takes the admitted request and sets its deadline.
     *
     * @param admitted request as admitted
     * @param deadline when the caller has to have its answer
     * @param now present time
     */
    void admitted(AuthorizedRequest admitted, Instant deadline, Instant now) {
        call = admitted;
        long millis = Math.max(0, Duration.between(now, deadline).toMillis());
        deadlineTimer = entry.loop().schedule(this::deadlineReached, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records why the request was not answered so far.
     *
     * @param why reason for the log
     */
    void recordReason(String why) {
        reason = why;
    }

    /**
     * Tells whether the request is over.
     *
     * @return true if it was answered or its caller left
     */
    boolean isCompleted() {
        return completed;
    }

    /** Ends the request because its caller closed the connection. */
    void callerDisconnected() {
        if (!completed) {
            reason = "caller left";
            finish(CLIENT_CLOSED_REQUEST, AttemptResult.CANCELLED);
        }
    }

    /** Ends the request because its stream is complete. */
    void completeStream() {
        reason = "";
        finish(HttpResponseStatus.OK.code(), AttemptResult.ANSWERED);
        stream.end();
    }

    /**
     * Ends the stream as incomplete.
     *
     * @param why reason for the log
     * @param result outcome of what is under way at an upstream
     */
    void abortStream(String why, AttemptResult result) {
        reason = why;
        finish(HttpResponseStatus.OK.code(), result);
        stream.abort();
    }

    /**
     * Passes the whole answer of an upstream on.
     *
     * @param answer answer
     */
    void forwardResponse(BufferedResponse answer) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        answer.head().status(),
                        Unpooled.wrappedBuffer(answer.body()));
        CallHeaders.toCaller(answer.head().headers(), response.headers());
        responseReceivedAt = entry.clock().instant();
        finish(answer.head().status().code(), AttemptResult.ANSWERED);
        caller.sendResponse(response);
    }

    /**
     * Refuses the request, which has not run and will not.
     *
     * @param why reason for the log
     * @param retryAfter when the caller may come back
     */
    void refuse(String why, Duration retryAfter) {
        respondLocally(HttpResponseStatus.SERVICE_UNAVAILABLE, why, retryAfter);
    }

    /**
     * Answers without an upstream.
     *
     * @param status status
     * @param why reason for the log
     */
    void respondLocally(HttpResponseStatus status, String why) {
        respondLocally(status, why, Duration.ZERO);
    }

    /** Ends the request at its deadline. */
    private void deadlineReached() {
        if (completed) {
            return;
        }
        if (stream.started()) {
            abortStream("deadline", AttemptResult.CANCELLED);
        } else if (attempts.mayHaveReachedUpstream()) {
            respondLocally(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", Duration.ZERO);
        } else {
            refuse("deadline", DEADLINE_RETRY_AFTER);
        }
    }

    /**
     * Answers without an upstream.
     *
     * @param status status
     * @param why reason for the log
     * @param retryAfter when the caller may come back, zero to say nothing
     */
    private void respondLocally(HttpResponseStatus status, String why, Duration retryAfter) {
        reason = reason.isEmpty() || reason.equals(why) ? why : reason + "; " + why;
        boolean late = status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
        finish(status.code(), late ? AttemptResult.BROKEN : AttemptResult.CANCELLED);
        caller.sendResponse(LocalResponses.build(status, facts.requestId(), retryAfter));
    }

    /**
     * Ends the request: nothing further is sent to an upstream.
     *
     * @param status status that the caller gets
     * @param result outcome of what is under way at an upstream
     */
    private void finish(int status, AttemptResult result) {
        completed = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        abandonAttempt.accept(result);
        request.body().release();
        entry.requestCompleted(
                new RequestRecord(
                        facts.requestId(),
                        Optional.ofNullable(call),
                        attempts.upstreams(),
                        attempts.reachedCount(),
                        status,
                        reason,
                        request.receivedAt(),
                        stream.firstEventAt().or(() -> Optional.ofNullable(responseReceivedAt)),
                        entry.clock().instant()));
    }
}
