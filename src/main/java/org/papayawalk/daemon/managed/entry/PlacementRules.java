package org.papayawalk.daemon.managed.entry;

import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.settings.ManagedSettings;

/** Rules by which an entry chooses upstreams. Confined to the traffic thread. */
final class PlacementRules {
    /** Requests that may wait at an engine, as a share of its slots. */
    private static final double ENGINE_QUEUE_SHARE = 0.05;

    /** Requests that all entries send an engine before they hear of it, as a share of its slots. */
    private static final double ENGINE_UNREPORTED_SHARE = 0.5;

    /** The same for a plain service, whose answers come soon: no bound in practice. */
    private static final double PLAIN_UNREPORTED_SHARE = 1000;

    /** Requests that may wait at a plain service, as a share of its slots. */
    private static final double PLAIN_QUEUE_SHARE = 2.0;

    /** Slots by which an upstream of another failure domain counts as more loaded. */
    private static final double OTHER_DOMAIN_PENALTY_SLOTS = 1.0;

    /** Slots by which an upstream of another region counts as more loaded. */
    private static final double OTHER_REGION_PENALTY_SLOTS = 2.0;

    /** Settings of the process. */
    private final ManagedSettings settings;

    /** Rule for engines. */
    private final PlacementRule engines;

    /** Rule for plain services. */
    private final PlacementRule plain;

    /**
     * Creates the rules.
     *
     * @param settings settings of the process
     * @param entries number of entries that are known to run, at least 1
     * @param random source of chance
     */
    PlacementRules(ManagedSettings settings, IntSupplier entries, RandomGenerator random) {
        this.settings = settings;
        engines =
                new LeastLoaded(
                        ENGINE_QUEUE_SHARE,
                        ENGINE_UNREPORTED_SHARE,
                        entries,
                        this::distancePenaltySlots,
                        random);
        plain =
                new LeastLoaded(
                        PLAIN_QUEUE_SHARE,
                        PLAIN_UNREPORTED_SHARE,
                        entries,
                        this::distancePenaltySlots,
                        random);
    }

    /**
     * Returns the rule for engines.
     *
     * @return rule
     */
    PlacementRule engines() {
        return engines;
    }

    /**
     * Returns the rule for plain services.
     *
     * @return rule
     */
    PlacementRule plain() {
        return plain;
    }

    /**
     * Returns how much more loaded an upstream counts because it is far.
     *
     * @param candidate upstream
     * @return slots
     */
    private double distancePenaltySlots(PlacementCandidate candidate) {
        if (candidate.upstream().domain().equals(settings.domain())) {
            return 0;
        }
        boolean near = settings.region(candidate.upstream().domain()).equals(settings.region());
        return near ? OTHER_DOMAIN_PENALTY_SLOTS : OTHER_REGION_PENALTY_SLOTS;
    }
}
