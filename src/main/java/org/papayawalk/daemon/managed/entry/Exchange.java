package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;
import org.papayawalk.core.call.CallFacts;
import org.papayawalk.core.call.UpstreamOrder;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.desired.Caller;
import org.papayawalk.core.desired.Denial;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.RequestAuthorizer;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.platform.CallHeaders;

/**
 * One request of a caller, from its last byte to the last byte of its answer. It is sent to one
 * upstream at a time, and to another one only if it may be repeated or did not run. Confined to the
 * traffic thread.
 */
final class Exchange {
    /** Time that must be left for a request to be sent to an upstream. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(40);

    /** When a caller may come back before the desired state is known. */
    private static final Duration NO_STATE_RETRY_AFTER = Duration.ofMillis(500);

    /** When a caller may come back, to another entry, that came to one that stops. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(50);

    /** When a caller may come back whose request crashed upstreams. */
    private static final Duration POISON_RETRY_AFTER = Duration.ofSeconds(5);

    /** Least urgent rank that upstreams know. */
    private static final int LOWEST_UPSTREAM_PRIORITY = 9;

    /** What all exchanges share. */
    private final EntryContext entry;

    /** Request. */
    private final CallerRequest request;

    /** What the caller states. */
    private final CallFacts facts;

    /** Streamed answer to the caller. */
    private final CallerStream stream;

    /** Upstreams that the request was sent to. */
    private final AttemptHistory attempts = new AttemptHistory();

    /** End of the exchange. */
    private final ExchangeCompletion completion;

    /** Request as the desired state allows it, once that is decided. */
    private AuthorizedRequest call;

    /** Identifies requests with the same content. */
    private String fingerprint = "";

    /** When the caller has to have its answer. */
    private Instant deadline = Instant.MAX;

    /** Sending under way; null without one. */
    private UpstreamAttempt attempt;

    /** Failure that an upstream answered with, for the case that no other answer can be had. */
    private BufferedResponse fallback;

    /**
     * Creates an exchange.
     *
     * @param entry what all exchanges share
     * @param caller connection of the caller
     * @param request request
     */
    Exchange(EntryContext entry, CallerHandler caller, CallerRequest request) {
        this.entry = entry;
        this.request = request;
        this.facts = CallHeaders.call(request.head().headers());
        this.stream = new CallerStream(caller, facts.lastEventId());
        this.completion =
                new ExchangeCompletion(
                        entry, caller, request, facts, stream, attempts, this::abandonAttempt);
    }

    /** Decides what happens to the request. */
    void start() {
        Instant now = entry.clock().instant();
        entry.metrics().received();
        if (entry.refusesRequests()) {
            completion.refuse("entry stops", STOPPING_RETRY_AFTER);
            return;
        }
        if (!entry.upstreams().view().complete()) {
            completion.refuse("no desired state known yet", NO_STATE_RETRY_AFTER);
            return;
        }
        DesiredState desired = entry.upstreams().view().desired().orElseThrow();
        String host = request.head().headers().get(HttpHeaderNames.HOST);
        Either<Denial, AuthorizedRequest> decision =
                RequestAuthorizer.authorize(
                        desired,
                        host,
                        request.head().uri(),
                        facts.key(),
                        entry.random().nextDouble());
        if (decision.isLeft()) {
            boolean noRoute = decision.getLeft() == Denial.NO_ROUTE;
            completion.respondLocally(
                    noRoute ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.UNAUTHORIZED,
                    "denied: " + decision.getLeft());
            return;
        }
        call = decision.get();
        fingerprint = Fingerprints.of(request, facts);
        if (isPoison(now)) {
            completion.refuse("request crashed upstreams", POISON_RETRY_AFTER);
            return;
        }
        deadline = request.receivedAt().plus(facts.timeLimit(call.route().timeout()));
        entry.retryBudget(call.service()).requestReceived(now);
        completion.admitted(call, deadline, now);
        entry.queue(call.service()).dispatch(this, now);
    }

    /**
     * Tells whether the caller keeps its connection for further requests.
     *
     * @return true unless it asked for the connection to be closed
     */
    boolean isKeepAlive() {
        return HttpUtil.isKeepAlive(request.head());
    }

    /** Ends the request because its caller closed the connection. */
    void callerDisconnected() {
        completion.callerDisconnected();
    }

    /**
     * Holds the upstream back while the caller does not read.
     *
     * @param reads whether the caller reads
     */
    void callerWritabilityChanged(boolean reads) {
        if (attempt != null) {
            attempt.setReadEnabled(reads);
        }
    }

    /**
     * Returns the request as the desired state allows it.
     *
     * @return admitted request
     */
    AuthorizedRequest call() {
        return call;
    }

    /**
     * Returns when the request was read.
     *
     * @return time
     */
    Instant receivedAt() {
        return request.receivedAt();
    }

    /**
     * Returns when the caller has to have its answer.
     *
     * @return time
     */
    Instant deadline() {
        return deadline;
    }

    /**
     * Tells whether an upstream could answer the request, if it had room.
     *
     * @param now present time
     * @return false if none holds what the request needs
     */
    boolean hasCandidate(Instant now) {
        return !entry.upstreams().candidates(call.service(), facts.model(), now).isEmpty();
    }

    /**
     * Tells whether the request is over.
     *
     * @return true if it was answered or its caller left
     */
    boolean isCompleted() {
        return completion.isCompleted();
    }

    /**
     * Returns the id of the request.
     *
     * @return id that the caller gave, may be empty
     */
    String requestId() {
        return facts.requestId();
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens, 0 if not stated
     */
    int promptTokens() {
        return facts.promptTokens();
    }

    /**
     * Returns what identifies requests with the same content.
     *
     * @return fingerprint
     */
    String fingerprint() {
        return fingerprint;
    }

    /**
     * Returns the streamed answer.
     *
     * @return stream to the caller
     */
    CallerStream stream() {
        return stream;
    }

    /**
     * Tells whether the request may be sent to a further upstream.
     *
     * @return true if its route allows another attempt
     */
    boolean hasAttemptsLeft() {
        return attempts.reachedCount() < call.route().maxAttempts();
    }

    /**
     * Sends the request if an upstream has room.
     *
     * @param now present time
     * @return true if it was sent
     */
    boolean trySend(Instant now) {
        Optional<PlacementCandidate> choice =
                entry.placementRule(call.service())
                        .choose(
                                entry.upstreams().candidates(call.service(), facts.model(), now),
                                attempts.upstreams(),
                                now);
        if (choice.isEmpty()) {
            return false;
        }
        attempt = new UpstreamAttempt(entry, this, choice.get());
        attempts.add(choice.get().upstream().id());
        attempt.start();
        return true;
    }

    /**
     * Builds the request for an upstream.
     *
     * @param choice upstream
     * @param now present time
     * @return request
     */
    FullHttpRequest upstreamRequest(PlacementCandidate choice, Instant now) {
        return UpstreamRequests.build(
                request,
                new UpstreamOrder(
                        choice.upstream().id(),
                        Math.max(1, Duration.between(now, deadline).toMillis()),
                        call.caller().map(Caller::team),
                        entry.upstreams().pinnedVersion(choice.upstream(), facts.model(), now),
                        facts.model().isPresent()
                                ? OptionalInt.of(
                                        Math.min(LOWEST_UPSTREAM_PRIORITY, call.priority()))
                                : OptionalInt.empty(),
                        stream.lastEventId()));
    }

    /** Ends the request because its stream is complete. */
    void streamCompleted() {
        attempt = null;
        completion.completeStream();
    }

    /**
     * Takes a whole answer of an upstream, which is passed on unless another upstream may do
     * better.
     *
     * @param answer answer
     * @param why description of the answer for the log
     */
    void responseReceived(BufferedResponse answer, String why) {
        if (stream.started() || answer.impliesNotRun()) {
            attemptFailed(true, true, why);
        } else if (answer.isServerError() && call.route().retryable()) {
            fallback = answer;
            attemptFailed(true, true, why);
        } else {
            attempt = null;
            completion.forwardResponse(answer);
        }
    }

    /**
     * Decides what follows a sending that gave no answer for the caller.
     *
     * @param ran whether the request may have run there
     * @param arrived whether the request reached the upstream
     * @param why what happened
     */
    void attemptFailed(boolean ran, boolean arrived, String why) {
        Instant now = entry.clock().instant();
        attempt = null;
        completion.recordReason(why);
        if (ran) {
            attempts.recordPossibleRun();
        }
        if (!arrived) {
            attempts.lastNotReached();
        }
        boolean allowed = !ran || call.route().retryable();
        boolean time = now.plus(MIN_TIME_LEFT).isBefore(deadline);
        if (!allowed || !time || !hasAttemptsLeft() || isPoison(now)) {
            endUnanswered(why, entry.queue(call.service()).retryAfter(this, now));
            return;
        }
        if (arrived && !entry.retryBudget(call.service()).tryAcquire(entry.entryCount(), now)) {
            endUnanswered(
                    why + "; no budget for a repeat",
                    entry.queue(call.service()).retryAfter(this, now));
            return;
        }
        entry.queue(call.service()).dispatch(this, now);
    }

    /**
     * Ends the request without a further sending.
     *
     * @param why reason for the log
     * @param retryAfter when the caller may come back, if the request did not run
     */
    void endUnanswered(String why, Duration retryAfter) {
        if (stream.started()) {
            completion.abortStream(why, AttemptResult.BROKEN);
        } else if (fallback != null) {
            completion.recordReason(why);
            completion.forwardResponse(fallback);
        } else if (attempts.mayHaveRun()) {
            completion.respondLocally(HttpResponseStatus.BAD_GATEWAY, why);
        } else {
            completion.refuse(why, retryAfter);
        }
    }

    /**
     * Tells whether the request crashed upstreams before.
     *
     * @param now present time
     * @return true if it must not be sent
     */
    private boolean isPoison(Instant now) {
        return entry.suspects().verdict(fingerprint, now) == SuspectRegistry.Verdict.REFUSED;
    }

    /**
     * Ends what is under way at an upstream.
     *
     * @param result how it counts for the upstream
     */
    private void abandonAttempt(AttemptResult result) {
        UpstreamAttempt open = attempt;
        attempt = null;
        if (open != null) {
            open.abandon(result);
        }
    }
}
