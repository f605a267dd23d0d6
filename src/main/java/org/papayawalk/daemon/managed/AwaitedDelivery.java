package org.papayawalk.daemon.managed;

import java.time.Duration;

/**
 * Changes that a check has found at the store and that another daemon should deliver. If it does
 * not, they are read at the store. Answers the load of large rows that many daemons would read over
 * one link at the same moment. Confined to the control thread.
 */
final class AwaitedDelivery {
    private static final Duration SHORTEST_WAIT = Duration.ofMillis(500);

    /** Bound of the random part of the wait, so that few read at the same moment. */
    private static final Duration MAX_JITTER = Duration.ofMillis(500);

    private boolean overdue;

    /**
     * Returns how long to wait for the other daemon.
     *
     * @param draw random number from 0 (inclusive) to 1 (exclusive)
     * @return time from the check
     */
    Duration waitTime(double draw) {
        return SHORTEST_WAIT.plusMillis((long) (draw * MAX_JITTER.toMillis()));
    }

    /** Records that nothing was delivered in time. */
    void missed() {
        overdue = true;
    }

    /** Records that the table has been read at the store. */
    void done() {
        overdue = false;
    }

    /**
     * Returns whether the changes have to be read at the store.
     *
     * @return true after {@link #missed()}
     */
    boolean isOverdue() {
        return overdue;
    }
}
