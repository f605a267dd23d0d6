package org.papayawalk.core.route;

/**
 * Limits retries to a share of the successes, so that an outage is not multiplied by retries.
 * Thread-safe.
 */
public final class TokenBucketRetryBudget {
    /** Retries earned by one success. */
    private static final double TOKENS_PER_SUCCESS = 0.1;

    /** Retries that can be saved up. */
    private static final double MAX_TOKENS = 50;

    /** Retries that may be made now. */
    private double tokens = MAX_TOKENS / 2;

    /** Records a success. */
    public synchronized void recordSuccess() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS);
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if the budget is used up
     */
    public synchronized boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
