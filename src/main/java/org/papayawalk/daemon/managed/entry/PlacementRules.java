package org.papayawalk.daemon.managed.entry;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.limit.ColdUpstreams;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.place.ColdPlacement;
import org.papayawalk.core.place.DomainPreference;
import org.papayawalk.core.place.LeastLoaded;
import org.papayawalk.core.place.LimitedUpstreams;
import org.papayawalk.core.place.LocalEngines;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementPolicy;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.RankPressure;
import org.papayawalk.core.place.SharedEngines;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.daemon.managed.LiveEntries;

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

    /** Share of the slots by which the rules for engines differ. */
    private static final double RESERVE_STEP = 0.08;

    private static final int RESERVE_STEPS = 3;

    /** Steps that leave more slots free than a late request does. */
    private static final int LATE_STEPS = 2;

    private final ManagedSettings settings;

    private final UpstreamTable upstreams;

    private final UpstreamLimits limits;

    private final ColdUpstreams cold;

    private final InstantSource clock;

    private final ManagedEntryMetrics metrics;

    private final RankPressure pressure = new RankPressure();

    /** Rules for engines by the number of {@link #RESERVE_STEP} shares that are left free. */
    private final List<PlacementRule> engines = new ArrayList<>();

    private final PlacementRule lateEngines;

    private final PlacementRule plain;

    /**
     * Creates the rules.
     *
     * @param settings settings of the process
     * @param entries other running entries
     * @param upstreams upstreams with the desired state in force
     * @param limits limits that upstreams have stated
     * @param random random generator
     * @param clock monotonic clock
     * @param metrics counters
     */
    PlacementRules(
            ManagedSettings settings,
            LiveEntries entries,
            UpstreamTable upstreams,
            UpstreamLimits limits,
            RandomGenerator random,
            InstantSource clock,
            ManagedEntryMetrics metrics) {
        this.metrics = metrics;
        this.settings = settings;
        this.clock = clock;
        this.upstreams = upstreams;
        this.limits = limits;
        HostId self = new HostId(settings.ip());
        cold =
                new ColdUpstreams(
                        self, entries::all, settings.limits().coldBound(), clock.instant());
        IntSupplier entryCount = () -> entries.all().size() + 1;
        PlacementRule leastLoaded =
                new LeastLoaded(
                        PlacementPolicy.PLAIN, entryCount, this::distancePenaltySlots, random);
        engines.add(engineRule(PlacementPolicy.ENGINES, entries, random));
        for (int i = 1; i <= RESERVE_STEPS; i++) {
            PlacementPolicy policy = PlacementPolicy.ENGINES.withReserve(i * RESERVE_STEP);
            engines.add(engineRule(policy, entries, random));
        }
        lateEngines = engineRule(PlacementPolicy.ENGINES_LATE, entries, random);
        plain = bounded(leastLoaded);
    }

    /**
     * Returns the rule for the upstreams of a service.
     *
     * @param service service
     * @param rank rank of the request, 0 for the highest
     * @param late whether the request was late already when it was received
     * @return for engines, a rule with a short queue and a bound on unreported requests, among a
     *     share of the engines if there are many entries, and with slots that a late request leaves
     *     free, or one of a lower rank while higher ones lack room; for plain services, a rule with
     *     a longer queue
     */
    PlacementRule rule(ServiceId service, int rank, boolean late) {
        boolean hasEngines = desired().flatMap(d -> d.engine(service)).isPresent();
        if (!hasEngines) {
            return plain;
        }
        int steps = settings.ranksCompete() ? reservedSteps(rank) : 0;
        return late && steps < LATE_STEPS ? lateEngines : engines.get(steps);
    }

    /**
     * Records that a request found no upstream with room.
     *
     * @param rank rank of the request, 0 for the highest
     * @param now present time
     */
    void foundNoRoom(int rank, Instant now) {
        if (settings.ranksCompete()) {
            pressure.foundNoRoom(rank, now);
        }
    }

    private int reservedSteps(int rank) {
        double reserve = pressure.reserve(rank, clock.instant());
        return (int) Math.min(RESERVE_STEPS, Math.round(reserve / RESERVE_STEP));
    }

    /**
     * Returns the length of a prompt relative to the mean prompt of its service.
     *
     * @param service service of the request
     * @param tokens length of the prompt in tokens
     * @return multiple of the mean prompt length, 0 if the service runs no engines or states no
     *     mean
     */
    double relativePromptLength(ServiceId service, int tokens) {
        int meanTokens =
                desired()
                        .flatMap(d -> d.engine(service))
                        .map(EngineSpec::meanPromptTokens)
                        .orElse(0);
        return meanTokens == 0 ? 0 : (double) tokens / meanTokens;
    }

    /**
     * Records that this entry sends a request.
     *
     * @param upstream upstream that receives it
     * @param now present time
     */
    void sent(UpstreamRegistration upstream, Instant now) {
        metrics.placed(upstream.service(), upstream.domain().equals(settings.domain()));
        limits.sent(upstream.process(), now);
        OptionalDouble coldPerSecond = coldPerSecond(upstream.service());
        if (upstream.isCold(now) && coldPerSecond.isPresent()) {
            cold.sent(upstream.process(), coldPerSecond.getAsDouble(), now);
        }
    }

    private Optional<DesiredState> desired() {
        return upstreams.snapshot().desired();
    }

    private OptionalDouble coldPerSecond(ServiceId service) {
        return desired().map(d -> d.coldPerSecond(service)).orElse(OptionalDouble.empty());
    }

    private PlacementRule bounded(PlacementRule rule) {
        return new LimitedUpstreams(new ColdPlacement(rule, cold, this::coldPerSecond), limits);
    }

    private PlacementRule engineRule(
            PlacementPolicy policy, LiveEntries entries, RandomGenerator random) {
        IntSupplier sharing = () -> Math.min(entries.all().size() + 1, ENTRIES_PER_ENGINE);
        HostId self = new HostId(settings.ip());
        PlacementRule leastLoaded =
                new LeastLoaded(policy, sharing, this::distancePenaltySlots, random);
        PlacementRule shared =
                new SharedEngines(leastLoaded, ENTRIES_PER_ENGINE, self, entries::all);
        PlacementRule alike = new LeastLoaded(policy, sharing, c -> 0, random);
        PlacementRule local =
                new LocalEngines(
                        alike,
                        shared,
                        DomainPreference.DEFAULT,
                        self,
                        settings.domain(),
                        settings.domainsMatter(),
                        entries::near,
                        c -> upstreams.delays().estimate(c.upstream(), clock.instant()));
        return bounded(local);
    }

    private double distancePenaltySlots(PlacementCandidate candidate) {
        if (candidate.upstream().domain().equals(settings.domain())) {
            return 0;
        }
        boolean near = settings.region(candidate.upstream().domain()).equals(settings.region());
        return near ? OTHER_DOMAIN_PENALTY_SLOTS : OTHER_REGION_PENALTY_SLOTS;
    }
}
