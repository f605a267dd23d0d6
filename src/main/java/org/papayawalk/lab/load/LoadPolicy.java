package org.papayawalk.lab.load;

import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.core.place.PlacementPolicy;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.SharedEngines;

/**
 * Placement and load shedding that are compared with other policies. Immutable.
 *
 * @param name name on the command line and in the report
 * @param placement creates the placement rule of each entry for requests that can be on time
 * @param latePlacement the same for requests that are late already
 * @param loadShedding rule for the wait of requests and the retries of refused callers
 * @param entriesPerEngine approximate number of entries that share an engine; 0 for all entries
 */
record LoadPolicy(
        String name,
        PlacementFactory placement,
        PlacementFactory latePlacement,
        LoadSheddingRule loadShedding,
        int entriesPerEngine) {

    /** Creates the placement rule of an entry. */
    interface PlacementFactory {
        /**
         * Creates a placement rule.
         *
         * @param entryIndex index of the entry, from 0
         * @param entries number of entries that share the engines
         * @param random random generator of the entry
         * @return rule
         */
        PlacementRule create(int entryIndex, int entries, RandomGenerator random);
    }

    /** Requests that may queue at an engine in production, as a share of its slots. */
    private static final double MAX_QUEUE_SHARE = 0.05;

    /**
     * Requests not yet in a load report that all entries together may have at an engine in
     * production, as a share of its slots.
     */
    private static final double MAX_UNREPORTED_SHARE = 0.5;

    /** Entries that share an engine in production. */
    private static final int ENTRIES_PER_ENGINE = 8;

    /** Share of the slots that is never reached, so that unreported requests are not bounded. */
    private static final double UNBOUNDED_SHARE = 1000;

    /** All policies; the first is the one used in production. */
    static final List<LoadPolicy> ALL =
            List.of(
                    reserving("product", PlacementPolicy.ENGINES_LATE.reservedShare()),
                    of(
                                    "no-reserve",
                                    MAX_QUEUE_SHARE,
                                    MAX_UNREPORTED_SHARE,
                                    LoadSheddingVariants.equalWait())
                            .withRendezvous("no-reserve", ENTRIES_PER_ENGINE),
                    of(
                            "undivided",
                            MAX_QUEUE_SHARE,
                            MAX_UNREPORTED_SHARE,
                            LoadSheddingRule.DEFAULT),
                    of("unheard", MAX_QUEUE_SHARE, UNBOUNDED_SHARE, LoadSheddingRule.DEFAULT),
                    of(
                            "returns-late",
                            MAX_QUEUE_SHARE,
                            MAX_UNREPORTED_SHARE,
                            LoadSheddingVariants.lateRetry()),
                    of(
                            "no-wait",
                            MAX_QUEUE_SHARE,
                            MAX_UNREPORTED_SHARE,
                            LoadSheddingVariants.noWait()),
                    of(
                            "long-wait",
                            MAX_QUEUE_SHARE,
                            MAX_UNREPORTED_SHARE,
                            LoadSheddingVariants.longWait()),
                    ablated("one-sampled", 1, PlacementPolicy.ENGINES.prefillCostSlots()),
                    ablated("all-compared", 1000, PlacementPolicy.ENGINES.prefillCostSlots()),
                    ablated("prefill-free", PlacementPolicy.ENGINES.sampleSize(), 0),
                    reserving("reserve-quarter", 0.25),
                    reserving("reserve-half", 0.5),
                    of("half-queue", 0.5, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT),
                    of("full-queue", 2, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT),
                    of("product", MAX_QUEUE_SHARE, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT)
                            .withRendezvous("rendezvous-4", 4),
                    of("product", MAX_QUEUE_SHARE, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT)
                            .withSubsets("shared-4", 4),
                    of("product", MAX_QUEUE_SHARE, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT)
                            .withSubsets("shared-8", 8),
                    of("product", MAX_QUEUE_SHARE, MAX_UNREPORTED_SHARE, LoadSheddingRule.DEFAULT)
                            .withSubsets("shared-12", 12),
                    new LoadPolicy(
                            "two-choices",
                            (i, n, r) -> new TwoChoicesPlacement(r),
                            (i, n, r) -> new TwoChoicesPlacement(r),
                            LoadSheddingRule.DEFAULT,
                            0),
                    new LoadPolicy(
                            "any",
                            (i, n, r) -> new RandomPlacement(r),
                            (i, n, r) -> new RandomPlacement(r),
                            LoadSheddingRule.DEFAULT,
                            0));

    // Returns a policy with the placement used in production, but with other bounds.
    private static LoadPolicy of(
            String name,
            double maxQueueShare,
            double maxUnreportedShare,
            LoadSheddingRule loadShedding) {
        return of(
                name,
                PlacementPolicy.ENGINES.withBounds(maxQueueShare, maxUnreportedShare),
                loadShedding);
    }

    private static LoadPolicy of(
            String name, PlacementPolicy policy, LoadSheddingRule loadShedding) {
        PlacementFactory placement = (i, n, r) -> new LeastLoaded(policy, () -> n, c -> 0, r);
        return new LoadPolicy(name, placement, placement, loadShedding, 0);
    }

    // Returns a policy with the placement used in production for requests that can be on time, but
    // with another reserve that late ones leave free.
    private static LoadPolicy reserving(String name, double reservedShare) {
        PlacementPolicy late = PlacementPolicy.ENGINES.withReserve(reservedShare);
        PlacementFactory onTime =
                (i, n, r) -> new LeastLoaded(PlacementPolicy.ENGINES, () -> n, c -> 0, r);
        return new LoadPolicy(
                        name,
                        onTime,
                        (i, n, r) -> new LeastLoaded(late, () -> n, c -> 0, r),
                        LoadSheddingRule.DEFAULT,
                        0)
                .withRendezvous(name, ENTRIES_PER_ENGINE);
    }

    // Returns the policy used in production with one weight of the placement changed.
    private static LoadPolicy ablated(String name, int sampleSize, double prefillCostSlots) {
        PlacementPolicy product = PlacementPolicy.ENGINES;
        return of(
                name,
                new PlacementPolicy(
                        product.maxQueueShare(),
                        product.maxUnreportedShare(),
                        sampleSize,
                        prefillCostSlots,
                        product.failurePenaltySlots(),
                        product.maxJitterSlots(),
                        product.reservedShare()),
                LoadSheddingRule.DEFAULT);
    }

    // Returns this policy with the engines divided among the entries.
    private LoadPolicy withSubsets(String newName, int newEntriesPerEngine) {
        PlacementFactory onTime =
                (i, n, r) -> placement().create(i, Math.min(n, newEntriesPerEngine), r);
        PlacementFactory late =
                (i, n, r) -> latePlacement().create(i, Math.min(n, newEntriesPerEngine), r);
        return new LoadPolicy(newName, onTime, late, loadShedding, newEntriesPerEngine);
    }

    // Returns this policy with a share of the engines for each entry, as in production.
    private LoadPolicy withRendezvous(String newName, int newEntriesPerEngine) {
        return new LoadPolicy(
                newName,
                shared(placement, newEntriesPerEngine),
                shared(latePlacement, newEntriesPerEngine),
                loadShedding,
                0);
    }

    private static PlacementFactory shared(PlacementFactory placement, int entriesPerEngine) {
        return (i, n, r) -> {
            PlacementRule rule = placement.create(i, Math.min(n, entriesPerEngine), r);
            Set<HostId> others = others(i, n);
            return new SharedEngines(rule, entriesPerEngine, entry(i), () -> others);
        };
    }

    private static Set<HostId> others(int index, int entries) {
        return IntStream.range(0, entries)
                .filter(i -> i != index)
                .mapToObj(LoadPolicy::entry)
                .collect(Collectors.toSet());
    }

    private static HostId entry(int index) {
        return new HostId("entry-" + index);
    }
}
