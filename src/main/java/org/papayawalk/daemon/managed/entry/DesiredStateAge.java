package org.papayawalk.daemon.managed.entry;

import java.time.Instant;
import org.papayawalk.core.desired.DenialRule;

/**
 * Time until which the desired state in force at an entry has every change. Confined to the event
 * loop thread.
 */
final class DesiredStateAge {
    private final DenialRule rule;

    private Instant completeUntil = Instant.MIN;

    /**
     * Creates the age of a state of which nothing is proven.
     *
     * @param rule decides how old the proof of a denial may be
     */
    DesiredStateAge(DenialRule rule) {
        this.rule = rule;
    }

    /**
     * Records a proof.
     *
     * @param until time until which the state in force has every change
     */
    void recordComplete(Instant until) {
        completeUntil = until;
    }

    /**
     * Returns whether there is a proof of any age.
     *
     * @return false until the first one
     */
    boolean isProven() {
        return !completeUntil.equals(Instant.MIN);
    }

    /**
     * Returns whether the state in force may call a request wrong.
     *
     * @param now present time
     * @return false if a change that should be in force by now may be missing
     */
    boolean allowsDenial(Instant now) {
        return rule.allowsDenial(completeUntil, now);
    }
}
