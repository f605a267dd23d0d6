package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decides the lowest version of weights that may answer requests. After a new version is requested,
 * upstreams that still serve an older one may answer for a grace period; afterwards only the new
 * version may. A request that was sent in time may still be on its way or wait in the queue of an
 * overloaded upstream; it is withdrawn early enough for the withdrawal to arrive before the
 * deadline. How long a message to the upstream takes is measured. Immutable.
 */
public final class MinimumVersionRule {
    /** Time that a request may wait in the queue of an upstream before it begins. */
    private static final Duration QUEUE_TIME = Duration.ofMillis(750);

    /** Time for late timers, and for differences between the clocks of daemons. */
    private static final Duration TIMER_MARGIN = Duration.ofMillis(150);

    /** Multiple of the measured delay that a withdrawal may take, as the delay may be growing. */
    private static final int DELAY_GROWTH = 2;

    private final Duration versionDeadline;

    /**
     * Creates a rule.
     *
     * @param versionDeadline time after which a requested version must be served everywhere
     */
    public MinimumVersionRule(Duration versionDeadline) {
        this.versionDeadline = versionDeadline;
    }

    /**
     * Returns the lowest version that may answer requests sent to an upstream now. The grace period
     * of each version starts when that version was requested, so that a newer request does not
     * extend the time of older versions.
     *
     * @param requested requested versions, newest last
     * @param messageDelay time that messages to the upstream take
     * @param now present time
     * @return lowest version that may answer, empty if any may
     */
    public OptionalInt lowestAllowed(
            List<RequestedVersion> requested, Duration messageDelay, Instant now) {
        Duration gracePeriod = notNegative(withdrawalAfter(messageDelay).minus(QUEUE_TIME));
        return requested.stream()
                .filter(v -> !v.receivedAt().plus(gracePeriod).isAfter(now))
                .mapToInt(RequestedVersion::number)
                .max();
    }

    /**
     * Returns when a request has to be withdrawn from an upstream if its response has not begun.
     *
     * @param requested requested versions, newest last
     * @param held version that the upstream serves
     * @param messageDelay time that messages to the upstream take
     * @return time, empty if no newer version was requested
     */
    public Optional<Instant> withdrawAt(
            List<RequestedVersion> requested, int held, Duration messageDelay) {
        return requested.stream()
                .filter(v -> v.number() > held)
                .map(v -> v.receivedAt().plus(withdrawalAfter(messageDelay)))
                .min(Instant::compareTo);
    }

    // Returns the time from the request for a version to the withdrawal from older ones.
    private Duration withdrawalAfter(Duration messageDelay) {
        return notNegative(
                versionDeadline.minus(TIMER_MARGIN).minus(messageDelay.multipliedBy(DELAY_GROWTH)));
    }

    private static Duration notNegative(Duration d) {
        return d.isNegative() ? Duration.ZERO : d;
    }
}
