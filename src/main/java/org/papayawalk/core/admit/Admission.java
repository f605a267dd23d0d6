package org.papayawalk.core.admit;

import java.time.Duration;

/**
 * Admission decision about a request at its arrival. Immutable.
 *
 * @param verdict what happens to the request
 * @param retryAfter delay after which a refused caller may retry, zero if the request is not
 *     refused
 * @param reason why the request is refused, empty if it is not
 */
public record Admission(Verdict verdict, Duration retryAfter, String reason) {
    /** The request starts now. */
    static final Admission START = new Admission(Verdict.START, Duration.ZERO, "");

    /** The request waits in the queue. */
    static final Admission WAIT = new Admission(Verdict.WAIT, Duration.ZERO, "");

    /** What happens to a request. */
    public enum Verdict {
        /** It starts now. */
        START,
        /** It waits in the queue. */
        WAIT,
        /** It is refused and not executed. */
        REFUSE
    }

    /**
     * Creates a refusal.
     *
     * @param retryAfter delay after which the caller may retry
     * @param reason why the request is refused
     * @return the refusal
     */
    static Admission refuse(Duration retryAfter, String reason) {
        return new Admission(Verdict.REFUSE, retryAfter, reason);
    }
}
