package org.papayawalk.lab.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Prefix cache events of an engine stand-in. As with a real engine, events are published with a
 * delay and some are missing. Thread-safe: one lock.
 */
final class CacheEvents {
    private static final Duration PUBLISH_DELAY = Duration.ofSeconds(1);

    // Every tenth event is never published; its sequence number stays unused.
    private static final int DROPPED_EVENT_INTERVAL = 10;

    private static final int MAX_EVENTS = 1000;

    // Oldest first.
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    private long lastSequence;

    /**
     * Adds an event, which is published after the delay or dropped.
     *
     * @param prefix shortened digest of the prompt that was cached
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
     * Returns the published events with a higher sequence number.
     *
     * @param after sequence number to start after, 0 for all events
     * @param now present time
     * @return events in ascending order of their sequence numbers
     */
    synchronized List<CacheEvent> publishedAfter(long after, Instant now) {
        return events.stream()
                .filter(e -> e.sequence() > after && !e.shownAt().isAfter(now))
                .toList();
    }

    /**
     * Event for a prompt that was added to the prefix cache. Written as JSON. Immutable.
     *
     * @param sequence sequence number, from 1
     * @param prefix shortened digest of the prompt
     * @param shownAt time from which the event is published
     */
    record CacheEvent(long sequence, String prefix, Instant shownAt) {}
}
