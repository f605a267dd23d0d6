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
import org.papayawalk.core.desired.Denial;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.platform.HeaderCodec;

/**
 * Completion of an exchange: its single final response, its deadline, and its log record. Events
 * after the completion have no effect. Confined to the event loop thread.
 */
final class ExchangeCompletion {
    /** Status in logs and metrics of a request whose caller disconnected. */
    private static final int CLIENT_CLOSED_REQUEST = 499;

    /** Retry delay for callers whose request no upstream took before its deadline. */
    private static final Duration DEADLINE_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntryContext entry;

    private final CallerHandler caller;

    private final CallerRequest request;

    private final RequestMetadata metadata;

    private final CallerStream stream;

    private final Consumer<AttemptResult> abandonAttempt;

    private final AttemptHistory attempts;

    /** Request as authorized; null until then. */
    private AuthorizedRequest authorizedRequest;

    /** Ends the request at its deadline; null until the request is authorized. */
    private ScheduledFuture<?> deadlineTimer;

    /** When a complete response was received; null until then. */
    private Instant responseReceivedAt;

    private boolean completed;

    /** Why the first upstream did not answer the request, for the log; empty if it did. */
    private String reason = "";

    /**
     * Creates the completion of an exchange that has not ended.
     *
     * @param entry shared state of the entry
     * @param caller connection of the caller
     * @param request request; its body is released when the exchange ends
     * @param metadata metadata stated by the caller
     * @param stream streamed response to the caller
     * @param attempts upstreams that the request was sent to
     * @param abandonAttempt abandons the attempt in flight, if any, with the given result
     */
    ExchangeCompletion(
            EntryContext entry,
            CallerHandler caller,
            CallerRequest request,
            RequestMetadata metadata,
            CallerStream stream,
            AttemptHistory attempts,
            Consumer<AttemptResult> abandonAttempt) {
        this.entry = entry;
        this.caller = caller;
        this.request = request;
        this.metadata = metadata;
        this.stream = stream;
        this.attempts = attempts;
        this.abandonAttempt = abandonAttempt;
    }

    /**
     * Records the authorized request and schedules its deadline.
     *
     * @param authorized request as authorized
     * @param deadline when the response is due
     * @param now present time
     */
    void requestAuthorized(AuthorizedRequest authorized, Instant deadline, Instant now) {
        authorizedRequest = authorized;
        long millis = Math.max(0, Duration.between(now, deadline).toMillis());
        deadlineTimer =
                entry.loop()
                        .schedule(() -> endUnfinished("deadline"), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Records why the request has not been answered so far.
     *
     * @param newReason reason for the log
     */
    void recordReason(String newReason) {
        reason = newReason;
    }

    /**
     * Returns whether the request has ended.
     *
     * @return true if it was answered or its caller disconnected
     */
    boolean isCompleted() {
        return completed;
    }

    /** Ends the request because its caller closed the connection. */
    void callerDisconnected() {
        if (!completed) {
            reason = "caller closed the connection";
            finish(CLIENT_CLOSED_REQUEST, AttemptResult.CANCELLED);
        }
    }

    /**
     * Ends the request, if it has not ended, because it cannot be waited for any longer.
     *
     * @param newReason reason for the log
     */
    void endUnfinished(String newReason) {
        if (completed) {
            return;
        }
        if (stream.started()) {
            abortStream(newReason, AttemptResult.CANCELLED);
        } else if (attempts.mayRun()) {
            respondLocally(HttpResponseStatus.GATEWAY_TIMEOUT, newReason, Duration.ZERO);
        } else {
            refuse(newReason, DEADLINE_RETRY_AFTER);
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
     * @param newReason reason for the log
     * @param result result of the attempt in flight
     */
    void abortStream(String newReason, AttemptResult result) {
        reason = newReason;
        finish(HttpResponseStatus.OK.code(), result);
        stream.abort();
    }

    /**
     * Forwards the complete response of an upstream.
     *
     * @param response response
     */
    void forwardResponse(BufferedResponse response) {
        FullHttpResponse forwarded =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        response.head().status(),
                        Unpooled.wrappedBuffer(response.body()));
        HeaderCodec.copyToCaller(response.head().headers(), forwarded.headers());
        responseReceivedAt = entry.clock().instant();
        finish(response.head().status().code(), AttemptResult.ANSWERED);
        caller.sendResponse(forwarded);
    }

    /**
     * Refuses the request with status 503. The request has not run and will not run.
     *
     * @param newReason reason for the log
     * @param retryAfter delay after which the caller may retry
     */
    void refuse(String newReason, Duration retryAfter) {
        respondLocally(HttpResponseStatus.SERVICE_UNAVAILABLE, newReason, retryAfter);
    }

    /**
     * Denies the request, which the desired state does not allow.
     *
     * @param denial why
     */
    void deny(Denial denial) {
        boolean noRoute = denial == Denial.NO_ROUTE;
        respondLocally(
                noRoute ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.UNAUTHORIZED,
                "denied: " + denial);
    }

    /**
     * Responds without an upstream and without a retry delay.
     *
     * @param status status
     * @param newReason reason for the log
     */
    void respondLocally(HttpResponseStatus status, String newReason) {
        respondLocally(status, newReason, Duration.ZERO);
    }

    private void respondLocally(HttpResponseStatus status, String newReason, Duration retryAfter) {
        reason =
                reason.isEmpty() || reason.equals(newReason)
                        ? newReason
                        : reason + "; " + newReason;
        boolean late = status.equals(HttpResponseStatus.GATEWAY_TIMEOUT);
        finish(status.code(), late ? AttemptResult.BROKEN : AttemptResult.CANCELLED);
        caller.sendResponse(LocalResponses.build(status, metadata.requestId(), retryAfter));
    }

    // Abandons the attempt in flight, releases the request body and records the request.
    private void finish(int status, AttemptResult result) {
        completed = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        abandonAttempt.accept(result);
        request.release();
        entry.requestCompleted(
                new RequestRecord(
                        metadata.requestId(),
                        Optional.ofNullable(authorizedRequest),
                        attempts.upstreams(),
                        attempts.reachedCount(),
                        status,
                        reason,
                        request.receivedAt(),
                        metadata.timeoutMillis(),
                        stream.firstEventAt().or(() -> Optional.ofNullable(responseReceivedAt)),
                        entry.clock().instant()));
    }
}
