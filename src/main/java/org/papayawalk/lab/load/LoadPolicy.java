package org.papayawalk.lab.load;

import java.util.List;
import java.util.random.RandomGenerator;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.core.place.PlacementRule;

/**
 * Way of placing and refusing that is compared with others. Immutable.
 *
 * @param name name for the command line and the report
 * @param placement makes the rule of one entry
 * @param waiting decides how long requests wait and when refused callers come back
 * @param sharers entries that share an engine, about; 0 for all
 */
record LoadPolicy(String name, Placement placement, LoadSheddingRule waiting, int sharers) {

    /** Makes the rule by which an entry places requests. */
    interface Placement {
        /**
         * Makes a rule.
         *
         * @param entries number of entries
         * @param random source of chance of the entry
         * @return rule
         */
        PlacementRule make(int entries, RandomGenerator random);
    }

    /** Requests that may wait at an engine, as a share of its slots, in the product. */
    private static final double QUEUE = 0.05;

    /** Requests that all entries send an engine before they hear of it, as a share of slots. */
    private static final double UNHEARD = 0.5;

    /** Number of unheard requests that bounds nothing. */
    private static final double UNBOUNDED = 1000;

    /** Ways that are known. */
    static final List<LoadPolicy> ALL =
            List.of(
                    of("product", QUEUE, UNHEARD, LoadSheddingRule.DEFAULT),
                    of("unheard", QUEUE, UNBOUNDED, LoadSheddingRule.DEFAULT),
                    of("returns-late", QUEUE, UNHEARD, LoadSheddingVariants.late()),
                    of("no-wait", QUEUE, UNHEARD, LoadSheddingVariants.noWait()),
                    of("long-wait", QUEUE, UNHEARD, LoadSheddingVariants.longWait()),
                    of("half-queue", 0.5, UNHEARD, LoadSheddingRule.DEFAULT),
                    of("full-queue", 2, UNHEARD, LoadSheddingRule.DEFAULT),
                    of("product", QUEUE, UNHEARD, LoadSheddingRule.DEFAULT).shared("shared-4", 4),
                    of("product", QUEUE, UNHEARD, LoadSheddingRule.DEFAULT).shared("shared-8", 8),
                    of("product", QUEUE, UNHEARD, LoadSheddingRule.DEFAULT).shared("shared-12", 12),
                    new LoadPolicy(
                            "two-choices",
                            (n, r) -> new TwoChoicesPlacement(r),
                            LoadSheddingRule.DEFAULT,
                            0),
                    new LoadPolicy(
                            "any", (n, r) -> new RandomPlacement(r), LoadSheddingRule.DEFAULT, 0));

    /**
     * Makes a way with the product's placement, with other bounds.
     *
     * @param name name
     * @param queueShare requests that may wait at an engine, as a share of its slots
     * @param unheardShare requests that all entries may send before they hear of the load
     * @param waiting decides how long requests wait and when refused callers come back
     * @return way
     */
    private static LoadPolicy of(
            String name, double queueShare, double unheardShare, LoadSheddingRule waiting) {
        Placement placement =
                (n, r) -> new LeastLoaded(queueShare, unheardShare, () -> n, c -> 0, r);
        return new LoadPolicy(name, placement, waiting, 0);
    }

    /**
     * Makes the same way with engines that are divided among the entries.
     *
     * @param newName name
     * @param entries entries that share an engine, about
     * @return way
     */
    private LoadPolicy shared(String newName, int entries) {
        Placement placement = (n, r) -> placement().make(Math.min(n, entries), r);
        return new LoadPolicy(newName, placement, waiting, entries);
    }
}
