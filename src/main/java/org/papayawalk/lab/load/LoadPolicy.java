package org.papayawalk.lab.load;

import java.util.List;
import java.util.random.RandomGenerator;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.WaitRule;

/**
 * Way of placing and refusing that is compared with others. Immutable.
 *
 * @param name name for the command line and the report
 * @param placement makes the rule of one entry
 * @param waiting decides how long requests wait and when refused callers come back
 */
record LoadPolicy(String name, Placement placement, WaitRule waiting) {

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
                    new LoadPolicy("product", leastLoaded(QUEUE, UNHEARD), WaitRule.DEFAULT),
                    new LoadPolicy("unheard", leastLoaded(QUEUE, UNBOUNDED), WaitRule.DEFAULT),
                    new LoadPolicy("returns-late", leastLoaded(QUEUE, UNHEARD), LoadRules.late()),
                    new LoadPolicy("no-wait", leastLoaded(QUEUE, UNHEARD), LoadRules.noWait()),
                    new LoadPolicy("long-wait", leastLoaded(QUEUE, UNHEARD), LoadRules.longWait()),
                    new LoadPolicy("half-queue", leastLoaded(0.5, UNHEARD), WaitRule.DEFAULT),
                    new LoadPolicy("full-queue", leastLoaded(2, UNHEARD), WaitRule.DEFAULT),
                    new LoadPolicy("two-choices", (n, r) -> new TwoChoices(r), WaitRule.DEFAULT),
                    new LoadPolicy("any", (n, r) -> new AnyUpstream(r), WaitRule.DEFAULT));

    /**
     * Makes the product's placement with other bounds.
     *
     * @param queueShare requests that may wait at an engine, as a share of its slots
     * @param unheardShare requests that all entries may send before they hear of the load
     * @return placement
     */
    private static Placement leastLoaded(double queueShare, double unheardShare) {
        return (n, r) -> new LeastLoaded(queueShare, unheardShare, () -> n, c -> 0, r);
    }
}
