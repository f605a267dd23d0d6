package org.papayawalk.core.admit;

import java.time.Duration;

/**
 * Decision about a request at its arrival. Immutable.
 *
 * @param verdict what happens to it
 * @param retryAfter for a refusal, when to come back
 * @param reason for a refusal, why
 */
public record Admission(Verdict verdict, Duration retryAfter, String reason) {
    /** The request runs now. */
    static final Admission START = new Admission(Verdict.START, Duration.ZERO, "");

    /** The request waits. */
    static final Admission WAIT = new Admission(Verdict.WAIT, Duration.ZERO, "");

    /** What happens to a request. Immutable. */
    public enum Verdict {
        /** It runs now. */
        START,
        /** It waits for its turn. */
        WAIT,
        /** It is refused and was not run. */
        REFUSE
    }

    /**
     * Creates a refusal.
     *
     * @param retryAfter when to come back
     * @param reason why
     * @return the refusal
     */
    static Admission refuse(Duration retryAfter, String reason) {
        return new Admission(Verdict.REFUSE, retryAfter, reason);
    }
}
