package org.papayawalk.lab.requests;

import java.util.List;

/**
 * What a caller saw of one call. Immutable.
 *
 * @param kind outcome as the caller understands it
 * @param wrong whether an answer that counts as whole is not the right one
 * @param retryAfterMillis when to come back, 0 if the answer did not say
 * @param firstTokenMicros time to the first event, -1 if there was none
 * @param gapsMicros times between events
 * @param detail status and text for people
 */
public record CallResult(
        Kind kind,
        boolean wrong,
        long retryAfterMillis,
        long firstTokenMicros,
        List<Long> gapsMicros,
        String detail) {

    /** Outcomes as a caller understands them. Immutable. */
    public enum Kind {
        /** The answer is whole. */
        ANSWERED,
        /** The system said that the call did not run. */
        NOT_RUN,
        /** The system said that the call may have run, or the connection was lost. */
        UNKNOWN
    }

    /**
     * Creates the result of a call without an answer.
     *
     * @param kind outcome
     * @param retryAfterMillis when to come back
     * @param detail status and text
     * @return the result
     */
    static CallResult withoutAnswer(Kind kind, long retryAfterMillis, String detail) {
        return new CallResult(kind, false, retryAfterMillis, -1, List.of(), detail);
    }
}
