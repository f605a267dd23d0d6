package org.papayawalk.lab.load;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Clock and event queue of a discrete-event simulation. The time is that of the event that runs.
 * Events at the same time run in the order in which they were scheduled. Not thread-safe.
 */
final class VirtualTimeScheduler {
    /** Scheduled events, the next one first. */
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparingLong(Event::sequence));

    private Instant now = Instant.EPOCH;

    /** Number of events scheduled so far. */
    private long scheduledCount;

    /**
     * Scheduled event. Immutable.
     *
     * @param at time at which it runs
     * @param sequence position in the order of scheduling; breaks ties
     * @param action action to run
     */
    private record Event(Instant at, long sequence, Runnable action) {}

    /**
     * Returns the present virtual time.
     *
     * @return time, from the epoch
     */
    Instant now() {
        return now;
    }

    /**
     * Schedules an action after a delay.
     *
     * @param delay delay from the present virtual time, 0 or more
     * @param action action to run
     */
    void scheduleAfter(Duration delay, Runnable action) {
        scheduleAt(now.plus(delay), action);
    }

    /**
     * Schedules an action at a time.
     *
     * @param at virtual time, not before the present
     * @param action action to run
     */
    void scheduleAt(Instant at, Runnable action) {
        events.add(new Event(at, scheduledCount++, action));
    }

    /**
     * Runs the scheduled events in order and advances the time.
     *
     * @param end time at which the simulation ends; later events do not run
     */
    void runUntil(Instant end) {
        while (!events.isEmpty() && !events.peek().at().isAfter(end)) {
            Event e = events.remove();
            now = e.at();
            e.action().run();
        }
        now = end;
    }
}
