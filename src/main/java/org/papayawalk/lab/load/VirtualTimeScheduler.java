package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Clock of a simulation. It stands at the event that is carried out; events of one moment are
 * carried out in the order in which they were set. Not thread-safe.
 */
final class VirtualTimeScheduler {
    /** Events to come, the next first. */
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::number));

    /** Present time. */
    private Instant now = Instant.EPOCH;

    /** Events set so far. */
    private long count;

    /**
     * Event to come. Immutable.
     *
     * @param at when it is carried out
     * @param number place among the events set
     * @param action what is done
     */
    private record Event(Instant at, long number, Runnable action) {}

    /**
     * Returns the present time.
     *
     * @return time
     */
    Instant now() {
        return now;
    }

    /**
     * Sets an event.
     *
     * @param delay time from now
     * @param action what is done then
     */
    void after(Duration delay, Runnable action) {
        at(now.plus(delay), action);
    }

    /**
     * Sets an event.
     *
     * @param at when it is carried out
     * @param action what is done then
     */
    void at(Instant at, Runnable action) {
        events.add(new Event(at, count++, action));
    }

    /**
     * Carries out events.
     *
     * @param end time at which the simulation stops
     */
    void run(Instant end) {
        while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
            Event e = events.remove();
            now = e.at();
            e.action().run();
        }
        now = end;
    }
}
