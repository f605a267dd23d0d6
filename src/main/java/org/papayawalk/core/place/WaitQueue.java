package org.papayawalk.core.place;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Bounded queue of the requests of one service that wait until an upstream has capacity. The order
 * is by priority; within a priority, requests that can still be on time go first; within these, the
 * newest goes first (LIFO). LIFO order suits a demand that exceeds the capacity: in FIFO order each
 * request would be sent just when it is late. No request waits past its expiry. Not thread-safe:
 * confined to the event loop thread.
 *
 * @param <T> type of the requests
 */
public final class WaitQueue<T> {
    /** Maximum number of waiting requests. */
    private static final int MAX_WAITING = 512;

    /** Requests that may find no capacity in one {@link #dispatch} after the first that does. */
    private static final int MAX_FURTHER_SKIPS = 4;

    /** Waiting requests, the next one to send first. */
    private final List<Waiting<T>> waiting = new ArrayList<>();

    /**
     * Waiting request. Immutable.
     *
     * @param request request
     * @param rank position relative to the other waiting requests
     * @param expiresAt end of its wait
     * @param <T> type of the request
     */
    private record Waiting<T>(T request, Rank rank, Instant expiresAt) {}

    /**
     * Position of a request relative to the other waiting requests. Immutable.
     *
     * @param priority rank of its route or team; 0 is the most urgent
     * @param late whether its answer will miss the target latency in any case
     */
    public record Rank(int priority, boolean late) implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            int byPriority = Integer.compare(priority, other.priority);
            return byPriority != 0 ? byPriority : Boolean.compare(late, other.late);
        }
    }

    /**
     * Returns whether a new request would go before all waiting ones.
     *
     * @param rank rank of the new request
     * @return true if no waiting request has a higher rank
     */
    public boolean precedesAll(Rank rank) {
        return waiting.isEmpty() || rank.compareTo(waiting.get(0).rank()) <= 0;
    }

    /**
     * Adds a request to the queue.
     *
     * @param request request to add
     * @param rank rank of the request
     * @param expiresAt end of its wait
     * @param now present time
     * @return false if the request was not added because it has expired or the queue is full
     */
    public boolean offer(T request, Rank rank, Instant expiresAt, Instant now) {
        if (!expiresAt.isAfter(now) || waiting.size() >= MAX_WAITING) {
            return false;
        }
        int index = 0;
        while (index < waiting.size() && waiting.get(index).rank().compareTo(rank) < 0) {
            index++;
        }
        waiting.add(index, new Waiting<>(request, rank, expiresAt));
        return true;
    }

    /**
     * Sends waiting requests while there is capacity. Removes those that were sent, those that
     * ended for another reason, and those that have expired.
     *
     * @param ended tests whether a request has ended for another reason
     * @param send sends a request; false if no upstream has capacity for it
     * @param now present time
     * @return expired requests
     */
    public List<T> dispatch(Predicate<T> ended, Predicate<T> send, Instant now) {
        List<T> expired = new ArrayList<>();
        int skipped = 0;
        for (Waiting<T> w : List.copyOf(waiting)) {
            if (ended.test(w.request())) {
                remove(w.request());
            } else if (skipped <= MAX_FURTHER_SKIPS && send.test(w.request())) {
                remove(w.request());
            } else if (!w.expiresAt().isAfter(now)) {
                remove(w.request());
                expired.add(w.request());
            } else {
                skipped++;
            }
        }
        return expired;
    }

    /**
     * Returns whether no request waits.
     *
     * @return true if the queue is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    private void remove(T request) {
        Iterator<Waiting<T>> all = waiting.iterator();
        while (all.hasNext()) {
            if (all.next().request() == request) {
                all.remove();
                return;
            }
        }
    }
}
