package org.papayawalk.core.place;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Requests of one service that wait until an upstream has room: the most urgent first, among equals
 * those that can still be in time, and of these the newest. Answers a demand beyond what the
 * upstreams can serve: if the oldest went first, each would be served just when it is late. Nobody
 * waits past his time. Not thread-safe: confined to the traffic thread.
 *
 * @param <T> type of the requests
 */
public final class WaitQueue<T> {
    /** Requests that may wait at once. */
    private static final int MAX_WAITING = 512;

    /** Requests looked at behind one that finds no room. */
    private static final int MAX_SKIPPED = 4;

    /** Requests that wait. */
    private final List<Waiting<T>> waiting = new ArrayList<>();

    /**
     * Request that waits. Immutable.
     *
     * @param request request
     * @param rank place among the others
     * @param expiresAt when it stops waiting
     * @param <T> type of the request
     */
    private record Waiting<T>(T request, Rank rank, Instant expiresAt) {}

    /**
     * Place of a request among those that wait. Immutable.
     *
     * @param priority rank of its route or team, 0 is the most urgent
     * @param late whether its answer will be late in any case
     */
    public record Rank(int priority, boolean late) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            int urgent = Integer.compare(priority, other.priority);
            return urgent != 0 ? urgent : Boolean.compare(late, other.late);
        }
    }

    /**
     * Tells whether a request that comes now goes before all that wait.
     *
     * @param rank place of the request
     * @return true if none that waits is ranked before it
     */
    public boolean precedesAll(Rank rank) {
        return waiting.isEmpty() || rank.compareTo(waiting.get(0).rank()) <= 0;
    }

    /**
     * Lets a request wait.
     *
     * @param item request
     * @param rank place of the request
     * @param until when it stops waiting
     * @param now present time
     * @return false if its time is over or too many wait; it was not taken then
     */
    public boolean offer(T item, Rank rank, Instant until, Instant now) {
        if (!until.isAfter(now) || waiting.size() >= MAX_WAITING) {
            return false;
        }
        int place = 0;
        while (place < waiting.size() && waiting.get(place).rank().compareTo(rank) < 0) {
            place++;
        }
        waiting.add(place, new Waiting<>(item, rank, until));
        return true;
    }

    /**
     * Takes out what is over, what finds room, and what has waited long enough.
     *
     * @param over tells whether a request is over for another reason
     * @param send sends a request, false if no upstream has room for it
     * @param now present time
     * @return requests that have waited long enough
     */
    public List<T> dispatch(Predicate<T> over, Predicate<T> send, Instant now) {
        List<T> expired = new ArrayList<>();
        int passedOver = 0;
        for (Waiting<T> w : List.copyOf(waiting)) {
            if (over.test(w.request())) {
                remove(w.request());
            } else if (passedOver <= MAX_SKIPPED && send.test(w.request())) {
                remove(w.request());
            } else if (!w.expiresAt().isAfter(now)) {
                remove(w.request());
                expired.add(w.request());
            } else {
                passedOver++;
            }
        }
        return expired;
    }

    /**
     * Tells whether nothing waits.
     *
     * @return true if the queue is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Removes a request.
     *
     * @param item request
     */
    private void remove(T item) {
        Iterator<Waiting<T>> all = waiting.iterator();
        while (all.hasNext()) {
            if (all.next().request() == item) {
                all.remove();
                return;
            }
        }
    }
}
