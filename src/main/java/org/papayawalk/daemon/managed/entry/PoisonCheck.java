package org.papayawalk.daemon.managed.entry;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.stream.BodyEnd;
import org.papayawalk.core.upstream.UpstreamRegistration;

/**
 * Checks whether one request may be sent, by the crashes of upstreams that this entry knows of at
 * that moment. While a part of its prompt is suspected, the request may be sent only if it has
 * begun a trial; it begins at most one until the parts are clear again. Confined to the event loop
 * thread.
 */
final class PoisonCheck {
    private final PoisonGuard guard;

    private final RequestSignature request;

    /** Whether this request has begun a trial of its suspected parts. */
    private boolean inTrial;

    /**
     * Creates the check of a request that has begun no trial.
     *
     * @param guard evidence of the entry
     * @param request signature of the request
     */
    PoisonCheck(PoisonGuard guard, RequestSignature request) {
        this.guard = guard;
        this.request = request;
    }

    /**
     * Decides whether the request may be sent now. Begins a trial if it needs one.
     *
     * @param now present time
     * @return false if it is refused or another request has begun a trial just before
     */
    boolean permits(Instant now) {
        if (guard.isRefused(request, now)) {
            return false;
        }
        boolean needed = guard.needsTrial(request, now);
        inTrial = needed && (inTrial || guard.beginTrial(request, now));
        return inTrial || !needed;
    }

    /**
     * Returns whether the request may not be sent to any upstream.
     *
     * @param now present time
     * @return true if it, or a part of its prompt, has crashed too many upstreams
     */
    boolean isRefused(Instant now) {
        return guard.isRefused(request, now);
    }

    /**
     * Returns whether the request, which an upstream may have run, may be sent to another one.
     *
     * @param now present time
     * @return false also if a part of its prompt is only suspected
     */
    boolean mayRepeat(Instant now) {
        return guard.mayRepeat(request, now);
    }

    /**
     * Returns whether the request may be what crashes an upstream that ran it.
     *
     * @param now present time
     * @return true if its prompt has parts, or an upstream has crashed while it ran
     */
    boolean mayCrash(Instant now) {
        return guard.mayCrash(request, now);
    }

    /**
     * Returns when the caller may retry if the request is refused.
     *
     * @param now present time
     * @return delay from now
     */
    Duration retryAfter(Instant now) {
        return guard.retryAfter(request, now);
    }

    /**
     * Records that an upstream has answered the request completely.
     *
     * @param begunAt when the answer began
     * @param upstream upstream that answered
     * @param end what told the end of the answer
     */
    void answered(Instant begunAt, UpstreamRegistration upstream, BodyEnd end) {
        if (end == BodyEnd.CONNECTION) {
            guard.endedWithConnection(request, begunAt, upstream);
        } else {
            guard.answered(request, begunAt);
        }
    }

    /**
     * Checks whether an upstream crashed while it ran the request, and counts the crash.
     *
     * @param answerBegun whether the upstream had begun to answer
     * @param upstream upstream whose connection was lost
     * @param checked called once afterwards, within the timeout of the check
     */
    void connectionLost(boolean answerBegun, UpstreamRegistration upstream, Runnable checked) {
        guard.connectionLost(request, answerBegun, upstream, checked);
    }

    /**
     * Checks whether an upstream crashes although its answer is no longer awaited, if a part of the
     * prompt is suspected.
     *
     * @param upstream upstream that had begun to answer
     * @param now present time
     */
    void abandoned(UpstreamRegistration upstream, Instant now) {
        guard.abandoned(request, upstream, now);
    }
}
