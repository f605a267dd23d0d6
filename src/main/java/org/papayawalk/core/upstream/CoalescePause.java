package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;

/**
 * Pause between two reads of a table, so that changes in a row are read together. Answers the load
 * on the store when many hosts start, or fail, one after the other: in such a wave the pause grows
 * up to a bound; a change in calm is read at once, and the one behind it after the shortest pause.
 * Not thread-safe: confined to one thread.
 */
public final class CoalescePause {
    /** Pause after a change in calm. */
    static final Duration SHORTEST = Duration.ofMillis(60);

    /** Time without changes, beyond the pause, that ends a wave. */
    static final Duration CALM = Duration.ofMillis(500);

    private final Duration longest;

    private Duration pause = Duration.ZERO;

    private Instant lastChangeAt = Instant.MIN;

    /**
     * Creates a pause in calm.
     *
     * @param longest bound of the pause; a shorter one than the pause in calm has no effect
     */
    public CoalescePause(Duration longest) {
        this.longest = longest.compareTo(SHORTEST) < 0 ? SHORTEST : longest;
    }

    /**
     * Records a read that brought changes.
     *
     * @param now present time
     * @return time to wait before the next read
     */
    public Duration afterChanges(Instant now) {
        boolean wave = !now.isAfter(lastChangeAt.plus(pause).plus(CALM));
        Duration longer = pause.multipliedBy(2);
        pause = wave ? longer : SHORTEST;
        if (pause.compareTo(longest) > 0) {
            pause = longest;
        }
        lastChangeAt = now;
        return pause;
    }
}
