package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds how often this entry sends a request once more. All entries share one bound without
 * talking to each other: each spends a share of the requests that it took itself, and an equal part
 * of the fixed allowance. Not thread-safe: confined to the traffic thread.
 */
public final class WindowedRetryBudget {
    /** Part of the bound that is spent, so that entries with stale counts stay within it. */
    private static final double SAFETY_FACTOR = 0.7;

    /** Repeats for each request. */
    private final double ratio;

    /** Repeats besides, over all entries. */
    private final double slack;

    /** Length of the window. */
    private final Duration window;

    /** Times of requests in the window. */
    private final Deque<Instant> requests = new ArrayDeque<>();

    /** Times of repeats in the window. */
    private final Deque<Instant> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats for each request
     * @param slack repeats besides, over all entries
     * @param window length of the window
     */
    public WindowedRetryBudget(double ratio, double slack, Duration window) {
        this.ratio = ratio;
        this.slack = slack;
        this.window = window;
    }

    /**
     * Records a request of a caller.
     *
     * @param now present time
     */
    public void requestReceived(Instant now) {
        requests.addLast(now);
        trim(requests, now);
    }

    /**
     * Takes a repeat from the budget.
     *
     * @param entries number of entries that share the allowance, at least 1
     * @param now present time
     * @return true if the repeat may be made; it is then counted
     */
    public boolean tryAcquire(int entries, Instant now) {
        trim(requests, now);
        trim(retries, now);
        double allowed = SAFETY_FACTOR * (ratio * requests.size() + slack / Math.max(1, entries));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(now);
        return true;
    }

    /**
     * Drops times before the window.
     *
     * @param times times in order
     * @param now present time
     */
    private void trim(Deque<Instant> times, Instant now) {
        Instant from = now.minus(window);
        while (!times.isEmpty() && times.peekFirst().isBefore(from)) {
            times.removeFirst();
        }
    }
}
