package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Record of one peer's conduct within one download: requests under way, and how long to leave it
 * alone. Not thread-safe: confined to the thread of its download.
 */
final class PeerStanding {
    /** Pause after a busy answer. */
    private static final Duration BUSY_PAUSE = Duration.ofMillis(100);

    /** Pause after a request that failed or timed out. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(5);

    /** Pause after corrupt bytes, for each time they came. */
    private static final Duration CORRUPT_PAUSE = Duration.ofSeconds(30);

    /** Requests under way. */
    private int outstanding;

    /** Number of times that corrupt bytes came. */
    private int corruptCount;

    /** Time before which the peer is not asked. */
    private Instant pausedUntil = Instant.MIN;

    /** Records a request that was sent. */
    void sent() {
        outstanding++;
    }

    /**
     * Records the end of a request.
     *
     * @param result how it ended
     * @param now present time
     */
    void ended(FetchResult result, Instant now) {
        outstanding--;
        Duration pause =
                switch (result) {
                    case VERIFIED, NOT_HELD -> Duration.ZERO;
                    case BUSY -> BUSY_PAUSE;
                    case FAILED -> FAILURE_PAUSE;
                    case CORRUPT -> CORRUPT_PAUSE.multipliedBy(++corruptCount);
                };
        Instant until = now.plus(pause);
        if (until.isAfter(pausedUntil)) {
            pausedUntil = until;
        }
    }

    /**
     * Tells whether the peer may be asked.
     *
     * @param now present time
     * @return true if no pause is in force
     */
    boolean usable(Instant now) {
        return !now.isBefore(pausedUntil);
    }

    /**
     * Returns the number of requests under way.
     *
     * @return 0 or more
     */
    int outstanding() {
        return outstanding;
    }
}
