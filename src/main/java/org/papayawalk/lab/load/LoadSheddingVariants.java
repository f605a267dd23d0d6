package org.papayawalk.lab.load;

import java.time.Duration;
import org.papayawalk.core.place.LoadSheddingRule;

/**
 * Load shedding rules that are compared with the rule used in production. Stateless and
 * thread-safe.
 */
final class LoadSheddingVariants {
    /** Longest wait for capacity, as a share of the target latency. */
    private static final double MAX_WAIT_SHARE = 0.45;

    /** Shortest time after which a refused caller may retry. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);

    /** Upper bound of the random delay that keeps callers from retrying together. */
    private static final Duration RETRY_JITTER = Duration.ofMillis(900);

    /** Expected time from the failure of all engines until the first one answers. */
    private static final Duration RECOVERY_TIME = Duration.ofMillis(4000);

    /** The same from the start of an entry. */
    private static final Duration START_TIME = Duration.ofMillis(1500);

    private LoadSheddingVariants() {}

    /**
     * Returns a rule that asks refused callers to retry five times later.
     *
     * @return rule
     */
    static LoadSheddingRule lateRetry() {
        return new LoadSheddingRule(
                MAX_WAIT_SHARE,
                MAX_WAIT_SHARE,
                MIN_RETRY_AFTER.multipliedBy(5),
                RETRY_JITTER,
                RECOVERY_TIME,
                START_TIME);
    }

    /**
     * Returns a rule under which late requests wait no longer than others.
     *
     * @return rule
     */
    static LoadSheddingRule equalWait() {
        double share = LoadSheddingRule.DEFAULT.maxWaitShare();
        return new LoadSheddingRule(
                share, share, MIN_RETRY_AFTER, RETRY_JITTER, RECOVERY_TIME, START_TIME);
    }

    /**
     * Returns a rule with hardly any wait: requests without capacity are refused almost at once.
     *
     * @return rule
     */
    static LoadSheddingRule noWait() {
        return new LoadSheddingRule(
                0.02, 0.02, MIN_RETRY_AFTER, RETRY_JITTER, RECOVERY_TIME, START_TIME);
    }

    /**
     * Returns a rule under which requests wait for almost their whole target latency.
     *
     * @return rule
     */
    static LoadSheddingRule longWait() {
        return new LoadSheddingRule(
                2 * MAX_WAIT_SHARE,
                2 * MAX_WAIT_SHARE,
                MIN_RETRY_AFTER,
                RETRY_JITTER,
                RECOVERY_TIME,
                START_TIME);
    }
}
