package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import org.papayawalk.core.Outcome;

/**
 * How a call ended at the agent. Immutable.
 *
 * @param outcome whether the upstream processed the request
 * @param reason why the call failed, empty for a complete response
 * @param retryAfter delay after which the caller may retry, zero if not known
 * @param retriableElsewhere whether the entry may send the request to another host
 * @param upstreamCrashed whether the upstream crashed during the call
 */
record CallCompletion(
        Outcome outcome,
        String reason,
        Duration retryAfter,
        boolean retriableElsewhere,
        boolean upstreamCrashed) {
    /** Completion of a call whose response was sent completely. */
    static final CallCompletion ANSWERED =
            new CallCompletion(Outcome.ANSWERED, "", Duration.ZERO, false, false);

    /**
     * Completion of a call whose response was sent up to the end of its connection, which the crash
     * of the upstream may have cut off.
     */
    static final CallCompletion ANSWERED_BEFORE_CRASH =
            new CallCompletion(Outcome.ANSWERED, "", Duration.ZERO, false, true);

    /**
     * Creates the completion of a request that did not run here and may be sent to another host.
     *
     * @param reason why the request did not run
     * @return the completion
     */
    static CallCompletion tryElsewhere(String reason) {
        return new CallCompletion(Outcome.NOT_RUN, reason, Duration.ZERO, true, false);
    }

    /**
     * Creates the completion of a request that did not run and must not be sent to another host.
     *
     * @param reason why the request did not run
     * @param retryAfter delay after which the caller may retry, zero if not known
     * @return the completion
     */
    static CallCompletion notRun(String reason, Duration retryAfter) {
        return new CallCompletion(Outcome.NOT_RUN, reason, retryAfter, false, false);
    }

    /**
     * Creates the completion of a request that may have run.
     *
     * @param reason why the outcome is unknown
     * @param crashed whether the upstream crashed during the call
     * @return the completion
     */
    static CallCompletion unknown(String reason, boolean crashed) {
        return new CallCompletion(Outcome.UNKNOWN, reason, Duration.ZERO, false, crashed);
    }
}
