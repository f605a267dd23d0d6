package org.papayawalk.core.route;

/**
 * Limits the retries of the stand-alone entry to a share of its successful requests, so that
 * retries do not multiply the load during an outage. The budget is a token bucket: successes add
 * tokens and each retry takes one. Thread-safe.
 */
public final class TokenBucketRetryBudget {
    /** Tokens that one success adds. */
    private static final double TOKENS_PER_SUCCESS = 0.1;

    /** Capacity of the bucket, which starts half full. */
    private static final double MAX_TOKENS = 50;

    private double tokens = MAX_TOKENS / 2;

    /** Records a successful request. */
    public synchronized void recordSuccess() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_SUCCESS);
    }

    /**
     * Takes one retry from the budget if it allows one.
     *
     * @return false if less than one token is left
     */
    public synchronized boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
