package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.desired.Denial;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.RequestAuthorizer;
import org.papayawalk.core.desired.RouteRule;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.RequestTiming;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.platform.HeaderCodec;

/**
 * One request of a caller, from the receipt of its last byte to the last byte of its response. It
 * is sent to one upstream at a time, and to another one only if it is idempotent or did not run.
 * Confined to the event loop thread.
 */
final class Exchange {
    /** Retry delay for callers until the desired state and the upstreams are received. */
    private static final Duration NO_STATE_RETRY_AFTER = Duration.ofMillis(500);

    /** Retry delay while the entry stops; short because callers reach another entry. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    private final EntryContext entry;

    private final CallerRequest request;

    private final RequestMetadata metadata;

    private final CallerStream stream;

    private final AttemptHistory attempts = new AttemptHistory();

    private final ExchangeCompletion completion;

    /** Request as authorized under the desired state; null until then. */
    private AuthorizedRequest authorized;

    /** Null until the request is authorized. */
    private PoisonCheck poison;

    /** Null until the request is authorized. */
    private RequestTiming timing;

    /** Null until the request is authorized. */
    private UpstreamChoice choice;

    /** Attempt in flight; null if there is none. */
    private UpstreamAttempt attempt;

    /** Server error to forward if no other response can be obtained; null if there is none. */
    private BufferedResponse fallback;

    /**
     * Creates an exchange that has not started.
     *
     * @param entry shared state of the entry
     * @param caller connection of the caller
     * @param request request; its body is released when the exchange ends
     */
    Exchange(EntryContext entry, CallerHandler caller, CallerRequest request) {
        this.entry = entry;
        this.request = request;
        this.metadata = HeaderCodec.requestMetadata(request.head().headers());
        this.stream = new CallerStream(caller, request.head().method(), metadata.lastEventId());
        this.completion =
                new ExchangeCompletion(
                        entry, caller, request, metadata, stream, attempts, this::abandonAttempt);
    }

    /**
     * Authorizes the request and dispatches it, or answers it at once with a refusal or a denial.
     */
    void start() {
        Instant now = entry.clock().instant();
        entry.metrics().received();
        if (!entry.upstreams().snapshot().complete()) {
            completion.refuse(
                    "no desired state or upstream list received yet", NO_STATE_RETRY_AFTER);
            return;
        }
        DesiredState desired = entry.upstreams().snapshot().desired().orElseThrow();
        String host = request.head().headers().get(HttpHeaderNames.HOST);
        double draw = entry.random().nextDouble();
        Either<Denial, AuthorizedRequest> decision =
                RequestAuthorizer.authorize(
                        desired, host, request.head().uri(), metadata.apiKey(), draw);
        if (decision.isLeft()) {
            deny(decision.getLeft(), now);
            return;
        }
        authorized = decision.get();
        RouteRule route = authorized.route();
        Instant deadline = request.receivedAt().plus(metadata.timeout(route.timeout()));
        if (!entry.accepts(route.kind(), deadline, now)) {
            completion.refuse("entry is stopping", STOPPING_RETRY_AFTER);
            return;
        }
        poison = new PoisonCheck(entry.poison(), RequestSignature.of(request, metadata));
        if (!poison.permits(now)) {
            completion.refuse(PoisonGuard.REASON, poison.retryAfter(now));
            return;
        }
        timing =
                new RequestTiming(
                        request.receivedAt(), deadline, route.timeout(), route.targetLatency());
        choice = new UpstreamChoice(entry, request, authorized, metadata, timing, attempts);
        entry.retryBudget(authorized.service()).requestReceived(now);
        completion.requestAuthorized(authorized, deadline, now);
        entry.queue(authorized.service()).dispatch(this, now);
    }

    // A denial is final, so it needs a desired state that lacks no change.
    private void deny(Denial denial, Instant now) {
        if (entry.desiredAge().allowsDenial(now)) {
            completion.deny(denial);
            return;
        }
        completion.refuse(
                "desired state may lack changes, by it denied: " + denial, NO_STATE_RETRY_AFTER);
    }

    /**
     * Returns the end of the request.
     *
     * @return completion
     */
    ExchangeCompletion completion() {
        return completion;
    }

    /**
     * Applies backpressure: stops reading from the upstream while the caller does not read.
     *
     * @param writable whether the caller's connection accepts data
     */
    void callerWritabilityChanged(boolean writable) {
        if (attempt != null) {
            attempt.setReadEnabled(writable);
        }
    }

    /**
     * Returns the request as authorized under the desired state.
     *
     * @return request, null before the request is authorized
     */
    AuthorizedRequest authorized() {
        return authorized;
    }

    /**
     * Returns the times of the request.
     *
     * @return times, null before the request is authorized
     */
    RequestTiming timing() {
        return timing;
    }

    /**
     * Returns whether the request has ended.
     *
     * @return true if it was answered or its caller disconnected
     */
    boolean isCompleted() {
        return completion.isCompleted();
    }

    /**
     * Returns what the caller states of the request.
     *
     * @return metadata
     */
    RequestMetadata metadata() {
        return metadata;
    }

    /**
     * Returns the check of the request by the crashes of upstreams.
     *
     * @return check, null before the request is authorized
     */
    PoisonCheck poison() {
        return poison;
    }

    /**
     * Returns the streamed response to the caller.
     *
     * @return stream, not started unless an upstream sent a stream
     */
    CallerStream stream() {
        return stream;
    }

    /**
     * Starts an attempt if an upstream has capacity. Ends a request that may not be sent any more
     * as its parts have become suspected.
     *
     * @param now present time
     * @return true if an attempt was started or the request is about to end
     */
    boolean trySend(Instant now) {
        Optional<PlacementCandidate> candidate = choice.next(now);
        if (candidate.isEmpty() && !poison.isRefused(now)) {
            return false;
        }
        if (!poison.permits(now)) {
            // Ends later, because the queue that holds the request is being scanned.
            entry.loop().execute(this::endAsPoison);
            return true;
        }
        attempt = new UpstreamAttempt(entry, this, candidate.get());
        attempts.add(candidate.get().upstream().id());
        attempt.start();
        return true;
    }

    /**
     * Returns the choice of upstreams for this request.
     *
     * @return choice, null before the request is authorized
     */
    UpstreamChoice choice() {
        return choice;
    }

    /**
     * Returns why the request may not be written to a connection that has just been opened.
     *
     * @param upstream upstream of the connection
     * @param now present time
     * @return reason for the log, empty if it may be written
     */
    Optional<String> obstacle(UpstreamRegistration upstream, Instant now) {
        Optional<String> obstacle = choice.obstacle(upstream, now);
        return obstacle.isPresent() || poison.permits(now)
                ? obstacle
                : Optional.of(PoisonGuard.REASON);
    }

    /**
     * Returns whether the attempt in flight may be given up, because the request could be sent to
     * another upstream at once.
     *
     * @param now present time
     * @return false if another attempt is not allowed or would have to wait
     */
    boolean canRepeat(Instant now) {
        return stream.isResumable()
                && poison.mayRepeat(now)
                && choice.canRepeat(now)
                && entry.queue(authorized.service()).precedesAll(this, now);
    }

    /**
     * Returns whether the answer will miss the latency target in any case.
     *
     * @param now present time
     * @return false also for a stream that has begun
     */
    boolean isLate(Instant now) {
        return timing.isLate(now) && !stream.started();
    }

    /**
     * Builds the request for an upstream.
     *
     * @param candidate upstream
     * @param now present time
     * @return request, released when it is written
     */
    FullHttpRequest upstreamRequest(PlacementCandidate candidate, Instant now) {
        return UpstreamRequests.build(
                request, choice.parameters(candidate.upstream(), stream.lastEventId(), now));
    }

    /**
     * Ends the request because its stream is complete.
     *
     * @param upstream upstream that sent its end
     * @param end what told its end
     */
    void streamCompleted(UpstreamRegistration upstream, BodyEnd end) {
        attempt = null;
        stream.firstEventAt().ifPresent(t -> poison.answered(t, upstream, end));
        completion.completeStream();
    }

    /**
     * Handles a complete response of an upstream: forwards it, or tries another upstream if the
     * response is a server error to a retryable request. A response that only implies that the
     * request did not run is never forwarded.
     *
     * @param response response
     * @param upstream upstream that sent it
     * @param end what told its end
     * @param reason description of the response for the log
     */
    void responseReceived(
            BufferedResponse response, UpstreamRegistration upstream, BodyEnd end, String reason) {
        if (stream.started() || response.impliesNotRun()) {
            attemptFailed(true, true, reason);
        } else if (response.isServerError() && authorized.route().retryable()) {
            fallback = response;
            attemptFailed(true, true, reason);
        } else {
            attempt = null;
            if (response.isSuccess()) {
                poison.answered(request.receivedAt(), upstream, end);
            }
            completion.forwardResponse(response);
        }
    }

    /**
     * Retries the request, or ends it, after an attempt that gave no response for the caller.
     *
     * @param mayHaveRun whether the upstream may have run the request
     * @param reached whether the request reached the upstream; only then does a retry use the
     *     budget
     * @param reason what happened, for the log
     */
    void attemptFailed(boolean mayHaveRun, boolean reached, String reason) {
        Instant now = entry.clock().instant();
        attempt = null;
        completion.recordReason(reason);
        attempts.lastEnded(mayHaveRun, reached);
        boolean mayRepeat = authorized.route().retryable() && poison.mayRepeat(now);
        boolean allowed = stream.isResumable() && (mayRepeat || !mayHaveRun);
        DispatchQueue queue = entry.queue(authorized.service());
        if (!allowed || !timing.leavesTime(Duration.ZERO, now) || !choice.hasAttemptsLeft()) {
            endUnanswered(reason, queue.retryAfter(this, now));
            return;
        }
        if (!mayHaveRun && !poison.permits(now)) {
            endUnanswered(reason, poison.retryAfter(now));
            return;
        }
        if (reached
                && !entry.retryBudget(authorized.service()).tryAcquire(entry.entryCount(), now)) {
            endUnanswered(reason + "; no budget for a repeat", queue.retryAfter(this, now));
            return;
        }
        queue.dispatch(this, now);
    }

    /**
     * Ends the request without another attempt.
     *
     * @param reason reason for the log
     * @param retryAfter delay after which the caller may retry, used if the request did not run
     */
    void endUnanswered(String reason, Duration retryAfter) {
        if (stream.started()) {
            completion.abortStream(reason, AttemptResult.BROKEN);
        } else if (fallback != null) {
            completion.recordReason(reason);
            completion.forwardResponse(fallback);
        } else if (attempts.mayHaveRun()) {
            completion.respondLocally(HttpResponseStatus.BAD_GATEWAY, reason);
        } else {
            completion.refuse(reason, retryAfter);
        }
    }

    private void endAsPoison() {
        if (!isCompleted()) {
            endUnanswered(PoisonGuard.REASON, poison.retryAfter(entry.clock().instant()));
        }
    }

    private void abandonAttempt(AttemptResult result) {
        UpstreamAttempt current = attempt;
        attempt = null;
        if (current != null) {
            current.abandon(result);
        }
    }
}
