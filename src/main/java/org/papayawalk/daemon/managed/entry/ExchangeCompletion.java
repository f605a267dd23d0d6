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
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.platform.HeaderCodec;

/**
 * End of an exchange: its one final answer, its deadline, and the record of it. Whatever comes
 * after the end changes nothing. Confined to the traffic thread.
 */
final class ExchangeCompletion {
    /** Status in the log of a request whose caller left. */
    private static final int CALLER_LEFT = 499;

    /** When a caller may come back whose time was over. */
    private static final Duration DEADLINE_PAUSE = Duration.ofSeconds(1);

    /** What all exchanges share. */
    private final EntryContext edge;

    /** Connection of the caller. */
    private final CallerHandler caller;

    /** Request. */
    private final CallerRequest request;

    /** What the caller states. */
    private final RequestMetadata facts;

    /** Streamed answer to the caller. */
    private final CallerStream stream;

    /** Ends what is under way at an upstream. */
    private final Consumer<AttemptResult> stopSending;

    /** Upstreams that the request was sent to. */
    private final AttemptHistory sentTo;

    /** Request as admitted; null before it was. */
    private AuthorizedRequest call;

    /** Ends the request at its deadline; null before it was admitted. */
    private ScheduledFuture<?> timer;

    /** When a whole answer came; null before. */
    private Instant answeredAt;

    /** Whether the request is over. */
    private boolean over;

    /** Why the request was not answered by its first upstream, for the log. */
    private String reason = "";

    /**
     * Creates the end of an exchange that goes on.
     *
     * @param edge what all exchanges share
     * @param caller connection of the caller
     * @param request request
     * @param facts what the caller states
     * @param stream streamed answer to the caller
     * @param sentTo upstreams that the request was sent to
     * @param stopSending ends what is under way at an upstream
     */
    ExchangeCompletion(
            EntryContext edge,
            CallerHandler caller,
            CallerRequest request,
            RequestMetadata facts,
            CallerStream stream,
            AttemptHistory sentTo,
            Consumer<AttemptResult> stopSending) {
        this.edge = edge;
        this.caller = caller;
        this.request = request;
        this.facts = facts;
        this.stream = stream;
        this.sentTo = sentTo;
        this.stopSending = stopSending;
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
        timer = edge.loop().schedule(this::deadlineReached, millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records why the request was not answered so far.
     *
     * @param why reason for the log
     */
    void note(String why) {
        reason = why;
    }

    /**
     * Tells whether the request is over.
     *
     * @return true if it was answered or its caller left
     */
    boolean isOver() {
        return over;
    }

    /** Ends the request because its caller closed the connection. */
    void callerLeft() {
        if (!over) {
            reason = "caller left";
            finish(CALLER_LEFT, AttemptResult.CANCELLED);
        }
    }

    /** Ends the request because its stream is complete. */
    void streamComplete() {
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
    void streamBroken(String why, AttemptResult result) {
        reason = why;
        finish(HttpResponseStatus.OK.code(), result);
        stream.breakOff();
    }

    /**
     * Passes the whole answer of an upstream on.
     *
     * @param answer answer
     */
    void answered(BufferedResponse answer) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        answer.head().status(),
                        Unpooled.wrappedBuffer(answer.body()));
        HeaderCodec.copyToCaller(answer.head().headers(), response.headers());
        answeredAt = edge.clock().instant();
        finish(answer.head().status().code(), AttemptResult.ANSWERED);
        caller.answer(response);
    }

    /**
     * Refuses the request, which has not run and will not.
     *
     * @param why reason for the log
     * @param retryAfter when the caller may come back
     */
    void refused(String why, Duration retryAfter) {
        own(HttpResponseStatus.SERVICE_UNAVAILABLE, why, retryAfter);
    }

    /**
     * Answers without an upstream.
     *
     * @param status status
     * @param why reason for the log
     */
    void own(HttpResponseStatus status, String why) {
        own(status, why, Duration.ZERO);
    }

    /** Ends the request at its deadline. */
    private void deadlineReached() {
        if (over) {
            return;
        }
        if (stream.begun()) {
            streamBroken("deadline", AttemptResult.CANCELLED);
        } else if (sentTo.any()) {
            own(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", Duration.ZERO);
        } else {
            refused("deadline", DEADLINE_PAUSE);
        }
    }

    /**
     * Answers without an upstream.
     *
     * @param status status
     * @param why reason for the log
     * @param retryAfter when the caller may come back, zero to say nothing
     */
    private void own(HttpResponseStatus status, String why, Duration retryAfter) {
        reason = reason.isEmpty() || reason.equals(why) ? why : reason + "; " + why;
        boolean late = status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
        finish(status.code(), late ? AttemptResult.BROKEN : AttemptResult.CANCELLED);
        caller.answer(LocalResponses.build(status, facts.requestId(), retryAfter));
    }

    /**
     * Ends the request: nothing further is sent to an upstream.
     *
     * @param status status that the caller gets
     * @param result outcome of what is under way at an upstream
     */
    private void finish(int status, AttemptResult result) {
        over = true;
        if (timer != null) {
            timer.cancel(false);
        }
        stopSending.accept(result);
        request.body().release();
        edge.ended(
                new RequestRecord(
                        facts.requestId(),
                        Optional.ofNullable(call),
                        sentTo.upstreams(),
                        sentTo.count(),
                        status,
                        reason,
                        request.readAt(),
                        stream.firstAt().or(() -> Optional.ofNullable(answeredAt)),
                        edge.clock().instant()));
    }
}
