package org.papayawalk.core.upstream;

import java.time.Instant;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Virtual time, and links between regions on which messages queue: one for each pair of regions and
 * direction. Times are in milliseconds. Not thread-safe.
 */
final class EmulatedNetwork {
    // 20.3 Mbit/s.
    private static final double LINK_BYTES_PER_MILLI = 2_540;

    private static final int LOCAL_DELAY = 1;

    private static final int REGION_DELAY = 20;

    private static final int MAX_JITTER = 5;

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();

    private final double[][] linkFreeAt;

    private final SplittableRandom random;

    private long now;

    private long sequence;

    private long linkBytes;

    /**
     * Creates idle links at time 0.
     *
     * @param regions number of regions
     * @param random source of the jitter
     */
    EmulatedNetwork(int regions, SplittableRandom random) {
        linkFreeAt = new double[regions][regions];
        this.random = random;
    }

    /**
     * Returns the present time.
     *
     * @return milliseconds since the start
     */
    long now() {
        return now;
    }

    /**
     * Returns the present time.
     *
     * @return time since the epoch
     */
    Instant instant() {
        return Instant.ofEpochMilli(now);
    }

    /**
     * Returns the bytes sent between regions.
     *
     * @return bytes
     */
    long linkBytes() {
        return linkBytes;
    }

    /**
     * Schedules an action.
     *
     * @param time when
     * @param action what
     */
    void at(long time, Runnable action) {
        events.add(new Event(time, sequence++, action));
    }

    /**
     * Runs until a time.
     *
     * @param until end
     */
    void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event e = events.poll();
            now = e.at;
            e.action.run();
        }
        now = until;
    }

    /**
     * Sends a message now.
     *
     * @param from region of the sender
     * @param to region of the receiver
     * @param bytes size
     * @return time of arrival
     */
    long arrival(int from, int to, int bytes) {
        if (from == to) {
            return now + LOCAL_DELAY;
        }
        linkBytes += bytes;
        double start = Math.max(now, linkFreeAt[from][to]);
        linkFreeAt[from][to] = start + bytes / LINK_BYTES_PER_MILLI;
        long sent = (long) Math.ceil(linkFreeAt[from][to]);
        return sent + REGION_DELAY + random.nextInt(MAX_JITTER);
    }
}
