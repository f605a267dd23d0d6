package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a host finishes the version that it fetches before it turns to a newer one. If
 * versions are requested faster than they can be distributed, or if the origin fails between two of
 * them, turning to the newest one at once would leave every host without a whole version. Answers
 * the load of two requested versions that are closer together than one distribution takes.
 * Immutable.
 *
 * @param leastShare share of the chunks that must be held, from 0 to 1; above 1, no version is
 *     finished
 * @param longestDelay longest delay of the newer version, from its request
 */
public record FinishFirstRule(double leastShare, Duration longestDelay) {
    /** Rule in use: a third of the chunks, and a delay that leaves time to distribute the newer. */
    public static final FinishFirstRule DEFAULT =
            new FinishFirstRule(1.0 / 3, Duration.ofMillis(2200));

    /**
     * Returns whether the version being fetched is finished first.
     *
     * @param heldChunks number of its chunks that are held
     * @param totalChunks number of its chunks, 0 while unknown
     * @param newerRequestedAt when the newer version was requested
     * @param now present time
     * @return false if too little of the version is held, or if the newer one would be delayed too
     *     long
     */
    public boolean finishes(
            int heldChunks, int totalChunks, Instant newerRequestedAt, Instant now) {
        boolean enoughHeld = heldChunks >= Math.max(1, totalChunks) * leastShare;
        boolean inTime = newerRequestedAt.plus(longestDelay).isAfter(now);
        return enoughHeld && inTime;
    }
}
