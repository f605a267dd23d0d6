package org.papayawalk.daemon.managed.entry;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementPolicy;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.settings.ManagedSettings;

/** Rules by which an entry selects upstreams. Confined to the event loop thread. */
final class PlacementRules {
    /** Load penalty, in slots, for an upstream in another failure domain of the same region. */
    private static final double OTHER_DOMAIN_PENALTY_SLOTS = 1.0;

    /** Load penalty, in slots, for an upstream in another region. */
    private static final double OTHER_REGION_PENALTY_SLOTS = 2.0;

    private final ManagedSettings settings;

    private final PlacementRule engines;

    private final PlacementRule plain;

    /**
     * Creates the rules.
     *
     * @param settings settings of the process
     * @param entryCount number of running entries, at least 1
     * @param random random generator
     */
    PlacementRules(ManagedSettings settings, IntSupplier entryCount, RandomGenerator random) {
        this.settings = settings;
        engines =
                new LeastLoaded(
                        PlacementPolicy.ENGINES, entryCount, this::distancePenaltySlots, random);
        plain =
                new LeastLoaded(
                        PlacementPolicy.PLAIN, entryCount, this::distancePenaltySlots, random);
    }

    /**
     * Returns the rule for engines.
     *
     * @return rule with a short queue and a bound on unreported requests
     */
    PlacementRule engines() {
        return engines;
    }

    /**
     * Returns the rule for plain services.
     *
     * @return rule with a longer queue
     */
    PlacementRule plain() {
        return plain;
    }

    private double distancePenaltySlots(PlacementCandidate candidate) {
        if (candidate.upstream().domain().equals(settings.domain())) {
            return 0;
        }
        boolean near = settings.region(candidate.upstream().domain()).equals(settings.region());
        return near ? OTHER_DOMAIN_PENALTY_SLOTS : OTHER_REGION_PENALTY_SLOTS;
    }
}
