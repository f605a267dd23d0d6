package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides the lowest version of weights that may answer requests. After a new version is requested,
 * upstreams that still serve an older one may answer for a grace period; afterwards only the new
 * version may. A request that was sent in time may still wait in the queue of an overloaded
 * upstream; if it has not begun shortly before the deadline, it is withdrawn. Immutable.
 */
public final class MinimumVersionRule {
    /** Time before the deadline at which older versions are no longer allowed. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(900);

    /** Time before the deadline at which a request that has not begun is withdrawn. */
    private static final Duration BEGIN_MARGIN = Duration.ofMillis(150);

    private final Duration versionDeadline;

    /** Time after a request for a new version during which older versions are allowed. */
    private final Duration gracePeriod;

    /**
     * Creates a rule.
     *
     * @param versionDeadline time after which a requested version must be served everywhere
     */
    public MinimumVersionRule(Duration versionDeadline) {
        this.versionDeadline = versionDeadline;
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

    /**
     * Returns by when a request must have begun at an upstream that serves a version.
     *
     * @param requested requested versions, newest last
     * @param held version that the upstream serves
     * @return time, empty if no newer version was requested
     */
    public Optional<Instant> beginBy(List<RequestedVersion> requested, int held) {
        return requested.stream()
                .filter(v -> v.number() > held)
                .map(v -> v.receivedAt().plus(versionDeadline).minus(BEGIN_MARGIN))
                .min(Instant::compareTo);
    }
}
