package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Health of one peer within one download: the number of requests in flight and the backoff after
 * bad results. Not thread-safe: confined to the thread of its planner.
 */
final class PeerHealth {
    /** Backoff after the peer replied that it is busy. */
    private static final Duration BUSY_BACKOFF = Duration.ofMillis(100);

    /** Backoff after a request that failed or timed out. */
    private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(5);

    /**
     * Backoff after the first corrupt chunk; doubled for each further one. It starts short, as the
     * bytes may have been corrupted in transit.
     */
    private static final Duration CORRUPT_BACKOFF = Duration.ofSeconds(2);

    /** Limit of the doublings of {@link #CORRUPT_BACKOFF}. */
    private static final int MAX_DOUBLINGS = 8;

    private int inFlightCount;

    private int corruptCount;

    /** End of the backoff after a busy reply. */
    private Instant busyUntil = Instant.MIN;

    /** End of the backoff after a failure or corrupt bytes. */
    private Instant blockedUntil = Instant.MIN;

    /** Records that a request was sent to the peer. */
    void recordSent() {
        inFlightCount++;
    }

    /**
     * Records the result of a request to the peer.
     *
     * @param result how it ended
     * @param now present time
     */
    void recordResult(FetchResult result, Instant now) {
        inFlightCount--;
        switch (result) {
            case BUSY -> busyUntil = now.plus(BUSY_BACKOFF);
            case FAILED -> extendBlock(now.plus(FAILURE_BACKOFF));
            case CORRUPT -> extendBlock(now.plus(nextCorruptBackoff()));
            default -> {
                // Neither a verified chunk nor one that the peer does not hold is a fault of it.
            }
        }
    }

    /**
     * Returns whether requests may be sent to the peer.
     *
     * @param now present time
     * @return true if no backoff is in force
     */
    boolean isAvailable(Instant now) {
        return !now.isBefore(busyUntil) && !isBlocked(now);
    }

    /**
     * Returns whether the peer is blocked, so that the chunks that it offers do not count as
     * offered.
     *
     * @param now present time
     * @return true during the backoff after a failure or corrupt bytes
     */
    boolean isBlocked(Instant now) {
        return now.isBefore(blockedUntil);
    }

    /**
     * Returns the number of requests to the peer that are in flight.
     *
     * @return 0 or more
     */
    int inFlightCount() {
        return inFlightCount;
    }

    private Duration nextCorruptBackoff() {
        Duration backoff =
                CORRUPT_BACKOFF.multipliedBy(1L << Math.min(corruptCount, MAX_DOUBLINGS));
        corruptCount++;
        return backoff;
    }

    private void extendBlock(Instant until) {
        if (until.isAfter(blockedUntil)) {
            blockedUntil = until;
        }
    }
}
