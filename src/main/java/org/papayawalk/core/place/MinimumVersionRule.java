package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;

/**
 * Decides the lowest version of weights that may answer requests. After a new version is requested,
 * upstreams that still serve an older one may answer for a grace period; afterwards only the new
 * version may. Immutable.
 */
public final class MinimumVersionRule {
    /** Time before the deadline at which older versions are no longer allowed. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(900);

    /** Time after a request for a new version during which older versions are allowed. */
    private final Duration gracePeriod;

    /**
     * Creates a rule.
     *
     * @param versionDeadline time after which a requested version must be served everywhere
     */
    public MinimumVersionRule(Duration versionDeadline) {
        gracePeriod = versionDeadline.minus(SAFETY_MARGIN);
    }

    /**
     * Returns the lowest version that may answer. The grace period of each version starts when that
     * version was requested, so that a newer request does not extend the time of older versions.
     *
     * @param requested requested versions, newest last
     * @param now present time
     * @return lowest version that may answer, empty if any may
     */
    public OptionalInt lowestAllowed(List<RequestedVersion> requested, Instant now) {
        return requested.stream()
                .filter(v -> !v.receivedAt().plus(gracePeriod).isAfter(now))
                .mapToInt(RequestedVersion::number)
                .max();
    }
}
