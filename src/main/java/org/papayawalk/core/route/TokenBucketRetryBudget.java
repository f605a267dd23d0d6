package org.papayawalk.core.route;

/**
 * Limits retries to a share of the successes, so that an outage is not multiplied by retries.
 * Thread-safe.
 */
public final class TokenBucketRetryBudget {
    /** Retries earned by one success. */
    private static final double EARNED_PER_SUCCESS = 0.1;

    /** Retries that can be saved up. */
    private static final double MAX_SAVED = 50;

    /** Retries that may be made now. */
    private double saved = MAX_SAVED / 2;

    /** Records a success. */
    public synchronized void succeeded() {
        saved = Math.min(MAX_SAVED, saved + EARNED_PER_SUCCESS);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is used up
     */
    public synchronized boolean take() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
