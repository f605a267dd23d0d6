package org.papayawalk.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Determines when a host switches to a staged version. An engine takes no requests while it
 * switches, so the hosts spread their switches over the time until the old version may no longer
 * answer. They do so without communication. Stateless; thread-safe.
 */
public final class SwitchSchedule {
    /** Time that the last host has to finish its in-flight requests and to load the version. */
    private static final Duration LAST_SWITCH_ALLOWANCE = Duration.ofMillis(1300);

    private SwitchSchedule() {}

    /**
     * Returns the time at which a host switches.
     *
     * @param stagedAt when the new version was completely staged
     * @param oldEndsAt when the version in service may no longer answer; empty if there is none, so
     *     that the host switches without delay
     * @param position position of the host in the order of all hosts, from 0 (first) to 1
     * @return time of the switch, at or after {@code stagedAt}
     */
    public static Instant switchTime(
            Instant stagedAt, Optional<Instant> oldEndsAt, double position) {
        if (oldEndsAt.isEmpty()) {
            return stagedAt;
        }
        Duration remaining =
                Duration.between(stagedAt, oldEndsAt.get()).minus(LAST_SWITCH_ALLOWANCE);
        return remaining.isNegative()
                ? stagedAt
                : stagedAt.plusMillis((long) (remaining.toMillis() * position));
    }
}
