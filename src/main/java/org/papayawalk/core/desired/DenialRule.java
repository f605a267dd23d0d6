package org.papayawalk.core.desired;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a daemon knows the desired state well enough to call a request wrong. A denial is
 * final for its caller, so it needs a state that is proven to lack nothing that has been in force
 * for the time that a change may take. Answers the load of large states that reach some daemons
 * late. Immutable.
 *
 * @param maxDelay longest time from a change of the desired state until every daemon has it
 */
public record DenialRule(Duration maxDelay) {
    /**
     * Returns whether a request may be denied by the desired state of a daemon.
     *
     * @param completeUntil time until which that state has every change, {@link Instant#MIN} if
     *     none is proven
     * @param now present time
     * @return false if a change that should be in force by now may be missing
     */
    public boolean allowsDenial(Instant completeUntil, Instant now) {
        return !completeUntil.plus(maxDelay).isBefore(now);
    }
}
