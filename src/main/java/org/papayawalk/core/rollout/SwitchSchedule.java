package org.papayawalk.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when a host switches to a version that it has staged. While an engine switches it takes
 * no requests, so hosts spread their switches over the time that is left until the old version may
 * not answer any more, without talking to each other. Holds no state; safe from any thread.
 */
public final class SwitchSchedule {
    /** Time that the last hosts are left with to finish what runs and to load. */
    private static final Duration LAST_SWITCH_ALLOWANCE = Duration.ofMillis(1300);

    /** Prevents instances. */
    private SwitchSchedule() {}

    /**
     * Returns when a host switches.
     *
     * @param stagedAt when the host had the whole version staged
     * @param oldEndsAt when the version that it serves may not answer any more, empty if it serves
     *     none and so has nothing to lose
     * @param share place of the host among all hosts, from 0 for the first up to 1
     * @return time of the switch, not before {@code stagedAt}
     */
    public static Instant switchTime(Instant stagedAt, Optional<Instant> oldEndsAt, double share) {
        if (oldEndsAt.isEmpty()) {
            return stagedAt;
        }
        Duration left = Duration.between(stagedAt, oldEndsAt.get()).minus(LAST_SWITCH_ALLOWANCE);
        return left.isNegative() ? stagedAt : stagedAt.plusMillis((long) (left.toMillis() * share));
    }
}
