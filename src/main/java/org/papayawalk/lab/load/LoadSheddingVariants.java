package org.papayawalk.lab.load;

import java.time.Duration;
import org.papayawalk.core.place.LoadSheddingRule;

/** Rules of waiting and coming back that are compared with the product's. */
final class LoadSheddingVariants {
    /** Part of the target that a request waits for room in the product. */
    private static final double TARGET_SHARE = 0.45;

    /** Shortest time after which a refused caller comes back. */
    private static final Duration LEAST = Duration.ofMillis(400);

    /** Spread of the returns. */
    private static final Duration SPREAD = Duration.ofMillis(900);

    /** Time in which the first engine answers again. */
    private static final Duration RESTART = Duration.ofMillis(4000);

    /** Prevents instances. */
    private LoadSheddingVariants() {}

    /**
     * Returns a rule whose returns are late.
     *
     * @return rule
     */
    static LoadSheddingRule late() {
        return new LoadSheddingRule(TARGET_SHARE, LEAST.multipliedBy(5), SPREAD, RESTART);
    }

    /**
     * Returns a rule that refuses at once.
     *
     * @return rule
     */
    static LoadSheddingRule noWait() {
        return new LoadSheddingRule(0.02, LEAST, SPREAD, RESTART);
    }

    /**
     * Returns a rule that lets requests wait for almost their target.
     *
     * @return rule
     */
    static LoadSheddingRule longWait() {
        return new LoadSheddingRule(2 * TARGET_SHARE, LEAST, SPREAD, RESTART);
    }
}
