package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;

/**
 * Times of a request that was received and authorized. Immutable.
 *
 * @param receivedAt when the request was received completely
 * @param deadline when the answer is due, for the caller and for the route
 * @param timeout timeout of the route
 * @param target target latency, within which the answer has its full value
 */
public record RequestTiming(
        Instant receivedAt, Instant deadline, Duration timeout, Duration target) {
    /** Minimum time before the deadline for another attempt. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(40);

    /**
     * Returns whether the answer will miss the target latency in any case. That of a caller who
     * returns after a refusal does, and such a caller has less time left than the route allows.
     *
     * @param now present time
     * @return true if the target latency has passed since the first attempt of the caller
     */
    public boolean isLate(Instant now) {
        return Duration.between(now, deadline).compareTo(timeout.minus(target)) < 0;
    }

    /**
     * Returns whether the answer was late already when the request was received. A repeat within
     * the entry is not meant: its caller has not been refused.
     *
     * @return true for a caller who returns after a refusal
     */
    public boolean cameLate() {
        return isLate(receivedAt);
    }

    /**
     * Returns whether a repeat leaves time for an answer. It has to arrive before the caller stops
     * waiting: otherwise the upstream would work for nobody, and the cancellation, which takes the
     * same way, would come later still.
     *
     * @param messageDelay time that a message to the upstream takes, zero if unknown
     * @param now present time
     * @return false if the repeat may arrive too late
     */
    public boolean leavesTime(Duration messageDelay, Instant now) {
        return now.plus(MIN_TIME_LEFT).plus(messageDelay).isBefore(deadline);
    }
}
