package org.papayawalk.daemon.managed.entry;

import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.LimitedUpstreams;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementPolicy;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.SharedEngines;
import org.papayawalk.core.settings.ManagedSettings;

/** Rules by which an entry selects upstreams. Confined to the event loop thread. */
final class PlacementRules {
    /** Load penalty, in slots, for an upstream in another failure domain of the same region. */
    private static final double OTHER_DOMAIN_PENALTY_SLOTS = 1.0;

    /** Load penalty, in slots, for an upstream in another region. */
    private static final double OTHER_REGION_PENALTY_SLOTS = 2.0;

    /**
     * Entries that share an engine. With half as many as an engine has slots, all of them together
     * may send what is allowed before the next load report.
     */
    private static final int ENTRIES_PER_ENGINE = 8;

    private final ManagedSettings settings;

    private final PlacementRule engines;

    private final PlacementRule lateEngines;

    private final PlacementRule plain;

    /**
     * Creates the rules.
     *
     * @param settings settings of the process
     * @param otherEntries hosts of the other running entries, by their IP addresses
     * @param limits limits that upstreams have stated
     * @param random random generator
     */
    PlacementRules(
            ManagedSettings settings,
            Supplier<Set<HostId>> otherEntries,
            UpstreamLimits limits,
            RandomGenerator random) {
        this.settings = settings;
        IntSupplier entryCount = () -> otherEntries.get().size() + 1;
        PlacementRule leastLoaded =
                new LeastLoaded(
                        PlacementPolicy.PLAIN, entryCount, this::distancePenaltySlots, random);
        engines = engineRule(PlacementPolicy.ENGINES, otherEntries, limits, random);
        lateEngines = engineRule(PlacementPolicy.ENGINES_LATE, otherEntries, limits, random);
        plain = new LimitedUpstreams(leastLoaded, limits);
    }

    /**
     * Returns the rule for engines.
     *
     * @param late whether the request was late already when it was received
     * @return rule with a short queue and a bound on unreported requests, among a share of the
     *     engines if there are many entries; for a late request with slots that are left free
     */
    PlacementRule engines(boolean late) {
        return late ? lateEngines : engines;
    }

    /**
     * Returns the rule for plain services.
     *
     * @return rule with a longer queue
     */
    PlacementRule plain() {
        return plain;
    }

    private PlacementRule engineRule(
            PlacementPolicy policy,
            Supplier<Set<HostId>> otherEntries,
            UpstreamLimits limits,
            RandomGenerator random) {
        IntSupplier sharing = () -> Math.min(otherEntries.get().size() + 1, ENTRIES_PER_ENGINE);
        PlacementRule leastLoaded =
                new LeastLoaded(policy, sharing, this::distancePenaltySlots, random);
        PlacementRule shared =
                new SharedEngines(
                        leastLoaded, ENTRIES_PER_ENGINE, new HostId(settings.ip()), otherEntries);
        return new LimitedUpstreams(shared, limits);
    }

    private double distancePenaltySlots(PlacementCandidate candidate) {
        if (candidate.upstream().domain().equals(settings.domain())) {
            return 0;
        }
        boolean near = settings.region(candidate.upstream().domain()).equals(settings.region());
        return near ? OTHER_DOMAIN_PENALTY_SLOTS : OTHER_REGION_PENALTY_SLOTS;
    }
}
