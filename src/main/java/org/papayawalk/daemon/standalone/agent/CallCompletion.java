package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import org.papayawalk.core.Outcome;

/**
 * End of a call at the agent. Immutable.
 *
 * @param outcome what became of the request
 * @param reason why, empty for an answer
 * @param retryAfter when to come back, zero if that is not known
 * @param elsewhere whether another host may be tried
 * @param crashed whether the upstream crashed meanwhile
 */
record CallCompletion(
        Outcome outcome, String reason, Duration retryAfter, boolean elsewhere, boolean crashed) {
    /** End of a whole answer. */
    static final CallCompletion ANSWERED =
            new CallCompletion(Outcome.ANSWERED, "", Duration.ZERO, false, false);

    /**
     * Creates the end of a request that did not run here but may run on another host.
     *
     * @param reason why
     * @return the end
     */
    static CallCompletion tryElsewhere(String reason) {
        return new CallCompletion(Outcome.NOT_RUN, reason, Duration.ZERO, true, false);
    }

    /**
     * Creates the end of a request that did not run and is not to be tried elsewhere.
     *
     * @param reason why
     * @param retryAfter when to come back
     * @return the end
     */
    static CallCompletion notRun(String reason, Duration retryAfter) {
        return new CallCompletion(Outcome.NOT_RUN, reason, retryAfter, false, false);
    }

    /**
     * Creates the end of a request that may have run.
     *
     * @param reason why
     * @param crashed whether the upstream crashed meanwhile
     * @return the end
     */
    static CallCompletion unknown(String reason, boolean crashed) {
        return new CallCompletion(Outcome.UNKNOWN, reason, Duration.ZERO, false, crashed);
    }
}
