package org.papayawalk.lab.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Cache events of an engine stand-in, published late and with gaps. Thread-safe: one lock. */
final class CacheEvents {
    /** Time until an event shows. */
    private static final Duration PUBLISH_DELAY = Duration.ofSeconds(1);

    /** One of this many events is never published. */
    private static final int DROPPED_EVENT_INTERVAL = 10;

    /** Events kept. */
    private static final int MAX_EVENTS = 1000;

    /** Events, oldest first. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** Number of the last event. */
    private long lastSequence;

    /**
     * Adds an event.
     *
     * @param prefix digest of the prompt that was cached
     * @param now present time
     */
    synchronized void add(String prefix, Instant now) {
        lastSequence++;
        if (lastSequence % DROPPED_EVENT_INTERVAL == 0) {
            return;
        }
        events.addLast(new CacheEvent(lastSequence, prefix, now.plus(PUBLISH_DELAY)));
        if (events.size() > MAX_EVENTS) {
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
    synchronized List<CacheEvent> publishedAfter(long after, Instant now) {
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
