package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a host may send its next request to an origin that has failed. Answers the load on
 * an origin that comes back: until it has sent a chunk again, each host sends one request at
 * intervals, so that it is met soon after its return and not by many at once. Not thread-safe:
 * confined to the thread of its planner.
 */
final class OriginBackoff {
    /** Time between two requests to an origin that has failed. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(75);

    /** Whether the last request that ended has failed. */
    private boolean failed;

    private Instant nextRequestAt = Instant.MIN;

    /**
     * Returns whether a request may be sent.
     *
     * @param now present time
     * @return true while the origin serves, and at intervals after a failure
     */
    boolean allows(Instant now) {
        return !failed || !now.isBefore(nextRequestAt);
    }

    /**
     * Records a request that is sent.
     *
     * @param now present time
     */
    void sent(Instant now) {
        nextRequestAt = now.plus(PROBE_INTERVAL);
    }

    /**
     * Records the end of a request.
     *
     * @param verified whether it brought the chunk
     * @param now present time
     */
    void ended(boolean verified, Instant now) {
        if (!verified && !failed) {
            nextRequestAt = now.plus(PROBE_INTERVAL);
        }
        failed = !verified;
    }
}
