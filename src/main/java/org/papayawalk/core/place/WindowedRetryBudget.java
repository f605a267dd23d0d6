package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of this entry within a sliding window. All entries together stay within one
 * bound without coordination: each may spend a share of the requests that it received itself, and
 * an equal part of a fixed allowance. Not thread-safe: confined to the event loop thread.
 */
public final class WindowedRetryBudget {
    /** Share of the bound that is spent, so that entries with stale counts stay within it. */
    private static final double SAFETY_FACTOR = 0.7;

    private final double ratio;
    private final double slack;
    private final Duration window;

    /** Arrival times of the requests in the window, oldest first. */
    private final Deque<Instant> requests = new ArrayDeque<>();

    /** Times of the retries in the window, oldest first. */
    private final Deque<Instant> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries allowed for each request
     * @param slack retries allowed in addition, over all entries in one window
     * @param window length of the sliding window
     */
    public WindowedRetryBudget(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.window = window;
    }

    /**
     * Records a request from a caller.
     *
     * @param now present time
     */
    public void requestReceived(Instant now) {
        requests.addLast(now);
        trim(requests, now);
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @param entryCount number of entries that share the allowance; less than 1 counts as 1
     * @param now present time
     * @return true if the retry may be made; it is then counted
     */
    public boolean tryAcquire(int entryCount, Instant now) {
        boolean allowed = allows(entryCount, now);
        if (allowed) {
            retries.addLast(now);
        }
        return allowed;
    }

    /**
     * Returns whether the budget allows one more retry, without taking it.
     *
     * @param entryCount number of entries that share the allowance; less than 1 counts as 1
     * @param now present time
     * @return true if the retry may be made
     */
    public boolean allows(int entryCount, Instant now) {
        trim(requests, now);
        trim(retries, now);
        double allowed =
                SAFETY_FACTOR * (ratio * requests.size() + slack / Math.max(1, entryCount));
        return retries.size() + 1 <= allowed;
    }

    // Removes the times before the window; the deque is in order of time.
    private void trim(Deque<Instant> times, Instant now) {
        Instant from = now.minus(window);
        while (!times.isEmpty() && times.peekFirst().isBefore(from)) {
            times.removeFirst();
        }
    }
}
