package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Record of one peer's conduct within one download: requests under way, and how long to leave it
 * alone. Not thread-safe: confined to the thread of its download.
 */
final class PeerHealth {
    /** Pause after a busy answer. */
    private static final Duration BUSY_PAUSE = Duration.ofMillis(100);

    /** Pause after a request that failed or timed out. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(5);

    /** Pause after corrupt bytes came for the first time; doubled each further time. */
    private static final Duration CORRUPT_PAUSE = Duration.ofSeconds(2);

    /** Times after which the pause after corrupt bytes grows no more. */
    private static final int MAX_DOUBLINGS = 8;

    /** Requests under way. */
    private int inFlightCount;

    /** Number of times that corrupt bytes came. */
    private int corruptCount;

    /** Time before which the peer is busy. */
    private Instant busyUntil = Instant.MIN;

    /** Time before which the peer is not trusted to deliver. */
    private Instant blockedUntil = Instant.MIN;

    /** Records a request that was sent. */
    void recordSent() {
        inFlightCount++;
    }

    /**
     * Records the end of a request.
     *
     * @param result how it ended
     * @param now present time
     */
    void recordResult(FetchResult result, Instant now) {
        inFlightCount--;
        switch (result) {
            case BUSY -> busyUntil = now.plus(BUSY_PAUSE);
            case FAILED -> block(now.plus(FAILURE_PAUSE));
            case CORRUPT -> block(now.plus(corruptPause()));
            default -> {
                // A chunk that came, or that the peer never claimed to have, tells nothing against
                // it.
            }
        }
    }

    /**
     * Tells whether the peer may be asked.
     *
     * @param now present time
     * @return true if it is neither busy nor blocked
     */
    boolean isAvailable(Instant now) {
        return !now.isBefore(busyUntil) && !isBlocked(now);
    }

    /**
     * Tells whether the peer is not trusted to deliver, so that its offers do not count.
     *
     * @param now present time
     * @return true after a failure or corrupt bytes, for a while
     */
    boolean isBlocked(Instant now) {
        return now.isBefore(blockedUntil);
    }

    /**
     * Returns the number of requests under way.
     *
     * @return 0 or more
     */
    int inFlightCount() {
        return inFlightCount;
    }

    /**
     * Returns the pause after corrupt bytes. They may have changed on the way, so the first pause
     * is short.
     *
     * @return pause
     */
    private Duration corruptPause() {
        Duration pause = CORRUPT_PAUSE.multipliedBy(1L << Math.min(corruptCount, MAX_DOUBLINGS));
        corruptCount++;
        return pause;
    }

    /**
     * Extends the time in which the peer is not trusted.
     *
     * @param until end of that time
     */
    private void block(Instant until) {
        if (until.isAfter(blockedUntil)) {
            blockedUntil = until;
        }
    }
}
