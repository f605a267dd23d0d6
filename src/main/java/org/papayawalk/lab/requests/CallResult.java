package org.papayawalk.lab.requests;

import java.util.List;

/**
 * Result of one call as its caller sees it. Immutable.
 *
 * @param kind outcome for the caller
 * @param wrong whether the answer is not the expected one, or ends early without an error event
 * @param retryAfterMillis delay before a retry in milliseconds, 0 if the answer has none
 * @param firstTokenMicros time to the first event in microseconds, -1 if there was none
 * @param gapsMicros times between events in microseconds, in their order
 * @param detail body of an answered call, else status and text or error, for logs and checks
 */
public record CallResult(
        Kind kind,
        boolean wrong,
        long retryAfterMillis,
        long firstTokenMicros,
        List<Long> gapsMicros,
        String detail) {

    /** Outcome of a call for its caller. */
    public enum Kind {
        /** A complete answer was received. */
        ANSWERED,
        /** The system reported that the call did not run, so a retry is safe. */
        NOT_RUN,
        /**
         * The call may have run: the system reported so, or the answer is missing or incomplete.
         */
        UNKNOWN
    }

    /**
     * Creates the result of a call without a complete answer.
     *
     * @param kind outcome
     * @param retryAfterMillis delay before a retry in milliseconds, 0 for none
     * @param detail status and text, or the error
     * @return result without times
     */
    static CallResult withoutAnswer(Kind kind, long retryAfterMillis, String detail) {
        return new CallResult(kind, false, retryAfterMillis, -1, List.of(), detail);
    }
}
