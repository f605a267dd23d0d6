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
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.core.call.RequestMetadata;
import org.papayawalk.core.desired.AuthorizedRequest;
import org.papayawalk.core.desired.Caller;
import org.papayawalk.core.desired.Denial;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.RequestAuthorizer;
import org.papayawalk.core.place.AttemptResult;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.platform.HeaderCodec;

/**
 * One request of a caller, from its last byte to the last byte of its answer. It is sent to one
 * upstream at a time, and to another one only if it may be repeated or did not run. Confined to the
 * traffic thread.
 */
final class Exchange {
    /** Time that must be left for a request to be sent to an upstream. */
    private static final Duration LEAST_TIME = Duration.ofMillis(40);

    /** When a caller may come back before the desired state is known. */
    private static final Duration UNKNOWN_STATE_PAUSE = Duration.ofMillis(500);

    /** When a caller may come back, to another entry, that came to one that stops. */
    private static final Duration STOP_PAUSE = Duration.ofMillis(50);

    /** When a caller may come back whose request crashed upstreams. */
    private static final Duration SUSPECT_PAUSE = Duration.ofSeconds(5);

    /** Least urgent rank that upstreams know. */
    private static final int LAST_PRIORITY = 9;

    /** What all exchanges share. */
    private final EntryContext edge;

    /** Request. */
    private final CallerRequest request;

    /** What the caller states. */
    private final RequestMetadata facts;

    /** Streamed answer to the caller. */
    private final CallerStream stream;

    /** Upstreams that the request was sent to. */
    private final AttemptHistory sentTo = new AttemptHistory();

    /** End of the exchange. */
    private final ExchangeCompletion end;

    /** Request as the desired state allows it, once that is decided. */
    private AuthorizedRequest call;

    /** Identifies requests with the same content. */
    private String fingerprint = "";

    /** When the caller has to have its answer. */
    private Instant deadline = Instant.MAX;

    /** Sending under way; null without one. */
    private UpstreamAttempt sending;

    /** Failure that an upstream answered with, for the case that no other answer can be had. */
    private BufferedResponse fallback;

    /**
     * Creates an exchange.
     *
     * @param edge what all exchanges share
     * @param caller connection of the caller
     * @param request request
     */
    Exchange(EntryContext edge, CallerHandler caller, CallerRequest request) {
        this.edge = edge;
        this.request = request;
        this.facts = HeaderCodec.requestMetadata(request.head().headers());
        this.stream = new CallerStream(caller, facts.lastEventId());
        this.end =
                new ExchangeCompletion(
                        edge, caller, request, facts, stream, sentTo, this::stopSending);
    }

    /** Decides what happens to the request. */
    void start() {
        Instant now = edge.clock().instant();
        edge.metrics().received();
        if (edge.closed()) {
            end.refused("entry stops", STOP_PAUSE);
            return;
        }
        if (!edge.fleet().view().complete()) {
            end.refused("no desired state known yet", UNKNOWN_STATE_PAUSE);
            return;
        }
        DesiredState desired = edge.fleet().view().desired().orElseThrow();
        String host = request.head().headers().get(HttpHeaderNames.HOST);
        Either<Denial, AuthorizedRequest> decision =
                RequestAuthorizer.authorize(
                        desired,
                        host,
                        request.head().uri(),
                        facts.key(),
                        edge.random().nextDouble());
        if (decision.isLeft()) {
            boolean noRoute = decision.getLeft() == Denial.NO_ROUTE;
            end.own(
                    noRoute ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.UNAUTHORIZED,
                    "denied: " + decision.getLeft());
            return;
        }
        call = decision.get();
        fingerprint = Fingerprints.of(request, facts);
        if (suspected(now)) {
            end.refused("request crashed upstreams", SUSPECT_PAUSE);
            return;
        }
        deadline = request.readAt().plus(facts.timeLimit(call.route().timeout()));
        edge.budget(call.service()).requestReceived(now);
        end.admitted(call, deadline, now);
        edge.line(call.service()).place(this, now);
    }

    /**
     * Tells whether the caller keeps its connection for further requests.
     *
     * @return true unless it asked for the connection to be closed
     */
    boolean keepsAlive() {
        return HttpUtil.isKeepAlive(request.head());
    }

    /** Ends the request because its caller closed the connection. */
    void callerLeft() {
        end.callerLeft();
    }

    /**
     * Holds the upstream back while the caller does not read.
     *
     * @param reads whether the caller reads
     */
    void callerReads(boolean reads) {
        if (sending != null) {
            sending.flow(reads);
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
    Instant readAt() {
        return request.readAt();
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
    boolean someoneAble(Instant now) {
        return !edge.fleet().candidates(call.service(), facts.model(), now).isEmpty();
    }

    /**
     * Tells whether the request is over.
     *
     * @return true if it was answered or its caller left
     */
    boolean isOver() {
        return end.isOver();
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
    boolean mayTryElsewhere() {
        return sentTo.count() < call.route().maxAttempts();
    }

    /**
     * Sends the request if an upstream has room.
     *
     * @param now present time
     * @return true if it was sent
     */
    boolean trySend(Instant now) {
        Optional<PlacementCandidate> choice =
                edge.placement(call.service())
                        .choose(
                                edge.fleet().candidates(call.service(), facts.model(), now),
                                sentTo.upstreams(),
                                now);
        if (choice.isEmpty()) {
            return false;
        }
        sending = new UpstreamAttempt(edge, this, choice.get());
        sentTo.add(choice.get().upstream().id());
        sending.begin();
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
                new AttemptParameters(
                        choice.upstream().id(),
                        Math.max(1, Duration.between(now, deadline).toMillis()),
                        call.caller().map(Caller::team),
                        edge.fleet().pinnedVersion(choice.upstream(), facts.model(), now),
                        facts.model().isPresent()
                                ? OptionalInt.of(Math.min(LAST_PRIORITY, call.priority()))
                                : OptionalInt.empty(),
                        stream.lastEvent()));
    }

    /** Ends the request because its stream is complete. */
    void streamEnded() {
        sending = null;
        end.streamComplete();
    }

    /**
     * Takes a whole answer of an upstream, which is passed on unless another upstream may do
     * better.
     *
     * @param answer answer
     * @param why description of the answer for the log
     */
    void answered(BufferedResponse answer, String why) {
        if (stream.begun() || answer.claimsNotRun()) {
            failed(true, true, why);
        } else if (answer.failure() && call.route().retryable()) {
            fallback = answer;
            failed(true, true, why);
        } else {
            sending = null;
            end.answered(answer);
        }
    }

    /**
     * Decides what follows a sending that gave no answer for the caller.
     *
     * @param ran whether the request may have run there
     * @param arrived whether the request reached the upstream
     * @param why what happened
     */
    void failed(boolean ran, boolean arrived, String why) {
        Instant now = edge.clock().instant();
        sending = null;
        end.note(why);
        if (ran) {
            sentTo.ran();
        }
        if (!arrived) {
            sentTo.notReached();
        }
        boolean allowed = !ran || call.route().retryable();
        boolean time = now.plus(LEAST_TIME).isBefore(deadline);
        if (!allowed || !time || !mayTryElsewhere() || suspected(now)) {
            giveUp(why, edge.line(call.service()).retryAfter(this, now));
            return;
        }
        if (arrived && !edge.budget(call.service()).tryAcquire(edge.entryCount(), now)) {
            giveUp(
                    why + "; no budget for a repeat",
                    edge.line(call.service()).retryAfter(this, now));
            return;
        }
        edge.line(call.service()).place(this, now);
    }

    /**
     * Ends the request without a further sending.
     *
     * @param why reason for the log
     * @param retryAfter when the caller may come back, if the request did not run
     */
    void giveUp(String why, Duration retryAfter) {
        if (stream.begun()) {
            end.streamBroken(why, AttemptResult.BROKEN);
        } else if (fallback != null) {
            end.note(why);
            end.answered(fallback);
        } else if (sentTo.mayHaveRun()) {
            end.own(HttpResponseStatus.BAD_GATEWAY, why);
        } else {
            end.refused(why, retryAfter);
        }
    }

    /**
     * Tells whether the request crashed upstreams before.
     *
     * @param now present time
     * @return true if it must not be sent
     */
    private boolean suspected(Instant now) {
        return edge.suspects().verdict(fingerprint, now) == SuspectRegistry.Verdict.REFUSED;
    }

    /**
     * Ends what is under way at an upstream.
     *
     * @param result how it counts for the upstream
     */
    private void stopSending(AttemptResult result) {
        UpstreamAttempt open = sending;
        sending = null;
        if (open != null) {
            open.abandon(result);
        }
    }
}
