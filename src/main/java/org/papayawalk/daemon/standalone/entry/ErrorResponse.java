package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import org.papayawalk.core.Outcome;

/**
 * Final answer to a request that has no whole answer of an upstream. Immutable.
 *
 * @param status HTTP status
 * @param outcome what became of the request
 * @param reason why, with step and peer
 * @param retryAfter when to come back, zero if coming back does not help
 * @param decided whether nothing more will become known of the request by waiting
 */
record ErrorResponse(
        int status, Outcome outcome, String reason, Duration retryAfter, boolean decided) {
    /** Status of a request that cannot be served now. */
    static final int UNAVAILABLE = 503;

    /** Status of a request whose upstream was lost. */
    static final int BAD_GATEWAY = 502;

    /** Status of a request whose deadline has passed. */
    static final int TIMEOUT = 504;

    /**
     * Creates the answer to a request that did not run.
     *
     * @param reason why
     * @param retryAfter when to come back
     * @return the answer
     */
    static ErrorResponse notRun(String reason, Duration retryAfter) {
        return new ErrorResponse(UNAVAILABLE, Outcome.NOT_RUN, reason, retryAfter, true);
    }

    /**
     * Creates the answer to a request that may have run.
     *
     * @param status HTTP status
     * @param reason why
     * @param retryAfter when to come back
     * @return the answer
     */
    static ErrorResponse unknown(int status, String reason, Duration retryAfter) {
        return new ErrorResponse(status, Outcome.UNKNOWN, reason, retryAfter, false);
    }

    /**
     * Creates the answer to a request that is wrong.
     *
     * @param status HTTP status from 400 to 499
     * @param reason why
     * @return the answer
     */
    static ErrorResponse wrong(int status, String reason) {
        return new ErrorResponse(status, Outcome.NOT_RUN, reason, Duration.ZERO, true);
    }

    /**
     * Returns the same answer as one that will not change by waiting.
     *
     * @return decided answer
     */
    ErrorResponse asDecided() {
        return new ErrorResponse(status, outcome, reason, retryAfter, true);
    }
}
