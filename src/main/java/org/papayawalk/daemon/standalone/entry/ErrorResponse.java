package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import org.papayawalk.core.Outcome;

/**
 * Response to a caller whose request got no complete response of an upstream. Immutable.
 *
 * @param status HTTP status
 * @param outcome outcome of the request
 * @param reason description of the failure, with the step and the peer if there is one
 * @param retryAfter time before the caller should retry, or zero if a retry does not help
 * @param conclusive whether waiting cannot reveal more about the outcome
 */
record ErrorResponse(
        int status, Outcome outcome, String reason, Duration retryAfter, boolean conclusive) {
    /** Status for a request that cannot be served at present. */
    static final int SERVICE_UNAVAILABLE = 503;

    /** Status for a request whose agent or upstream failed. */
    static final int BAD_GATEWAY = 502;

    /** Status for a request that did not finish before its deadline. */
    static final int GATEWAY_TIMEOUT = 504;

    /**
     * Creates the response to a request that did not run and will not run.
     *
     * @param reason description of the failure
     * @param retryAfter time before the caller should retry, or zero if a retry does not help
     * @return conclusive response with status 503
     */
    static ErrorResponse notRun(String reason, Duration retryAfter) {
        return new ErrorResponse(SERVICE_UNAVAILABLE, Outcome.NOT_RUN, reason, retryAfter, true);
    }

    /**
     * Creates the response to a request that may have run.
     *
     * @param status HTTP status
     * @param reason description of the failure
     * @param retryAfter time before the caller should retry, or zero if a retry does not help
     * @return response that is not conclusive
     */
    static ErrorResponse unknownOutcome(int status, String reason, Duration retryAfter) {
        return new ErrorResponse(status, Outcome.UNKNOWN, reason, retryAfter, false);
    }

    /**
     * Creates the response to an invalid request, which did not run.
     *
     * @param status HTTP status, 400 to 499
     * @param reason description of the value found and of what is expected
     * @return conclusive response
     */
    static ErrorResponse invalidRequest(int status, String reason) {
        return new ErrorResponse(status, Outcome.NOT_RUN, reason, Duration.ZERO, true);
    }

    /**
     * Returns a conclusive copy of this response.
     *
     * @return the same response, marked as conclusive
     */
    ErrorResponse asConclusive() {
        return new ErrorResponse(status, outcome, reason, retryAfter, true);
    }
}
