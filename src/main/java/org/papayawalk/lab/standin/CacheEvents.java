package org.papayawalk.lab.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Cache events of an engine stand-in, published late and with gaps. Thread-safe: one lock. */
final class CacheEvents {
    /** Time until an event shows. */
    private static final Duration LAG = Duration.ofSeconds(1);

    /** One of this many events is never published. */
    private static final int GAP_EVERY = 10;

    /** Events kept. */
    private static final int MAX_KEPT = 1000;

    /** Events, oldest first. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** Number of the last event. */
    private long last;

    /**
     * Adds an event.
     *
     * @param prefix digest of the prompt that was cached
     * @param now present time
     */
    synchronized void add(String prefix, Instant now) {
        last++;
        if (last % GAP_EVERY == 0) {
            return;
        }
        events.addLast(new CacheEvent(last, prefix, now.plus(LAG)));
        if (events.size() > MAX_KEPT) {
            events.removeFirst();
        }
    }

    /**
     * Returns events that show.
     *
     * @param after number behind which to start
     * @param now present time
     * @return events in their order
     */
    synchronized List<CacheEvent> after(long after, Instant now) {
        return events.stream()
                .filter(e -> e.sequence() > after && !e.shownAt().isAfter(now))
                .toList();
    }

    /**
     * Prompt that was cached. Immutable.
     *
     * @param sequence number of the event
     * @param prefix digest of the prompt
     * @param shownAt when it shows
     */
    record CacheEvent(long sequence, String prefix, Instant shownAt) {}
}
