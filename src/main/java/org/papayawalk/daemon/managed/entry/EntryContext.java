package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.papayawalk.core.RunningTime;
import org.papayawalk.core.admit.StopSchedule;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.desired.DenialRule;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.RequestKind;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.limit.BodyAdmission;
import org.papayawalk.core.limit.HeaderLines;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.place.MinimumVersionRule;
import org.papayawalk.core.place.WindowedRetryBudget;
import org.papayawalk.core.place.WithheldUpstreams;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.daemon.managed.LiveEntries;
import org.papayawalk.http.BufferBudget;

/**
 * State and services that all exchanges of one entry share. Confined to the event loop thread,
 * except {@link #stop(StopSchedule)}, {@link #limits()}, {@link #bufferBudget()} and the registries
 * of {@link #poison()}, which are thread-safe.
 */
final class EntryContext {
    private final ManagedSettings settings;

    private final EventLoop loop;

    private final InstantSource clock;

    private final RunningTime runningTime;

    private final UpstreamTable upstreams;

    private final LiveEntries otherEntries;

    private final ManagedEntryMetrics metrics;

    private final RandomGenerator random = new SplittableRandom();

    private final PoisonGuard poison;

    private final UpstreamLimits limits;

    private final UpstreamStatements statements;

    private final Map<ServiceId, WindowedRetryBudget> retryBudgets = new HashMap<>();

    private final Map<ServiceId, DispatchQueue> queues = new HashMap<>();

    private final EntryMemory memory = new EntryMemory(Runtime.getRuntime().maxMemory());

    private final CallerConnections callers;

    private final TurnQueue turns;

    private final DesiredStateAge desiredAge;

    private final PlacementRules placementRules;

    /** Null unless the entry is stopping. */
    private volatile StopSchedule stop;

    /**
     * Creates the shared state of an entry.
     *
     * @param settings settings of the process
     * @param loop event loop thread
     * @param clock monotonic clock
     * @param otherEntries other running entries
     * @param metrics counters and histograms
     */
    EntryContext(
            ManagedSettings settings,
            EventLoop loop,
            InstantSource clock,
            LiveEntries otherEntries,
            ManagedEntryMetrics metrics) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.runningTime = new RunningTime(clock.instant());
        this.otherEntries = otherEntries;
        this.metrics = metrics;
        this.callers = new CallerConnections(settings.maxCallerConnections());
        this.turns = new TurnQueue(loop);
        this.desiredAge = new DesiredStateAge(new DenialRule(settings.limits().maxDelay()));
        this.poison = new PoisonGuard(loop, clock, new HostId(settings.ip()), otherEntries::all);
        this.limits = new UpstreamLimits(new HostId(settings.ip()), otherEntries::all);
        WithheldUpstreams withheld = new WithheldUpstreams();
        this.statements = new UpstreamStatements(limits, withheld);
        this.upstreams =
                new UpstreamTable(
                        loop,
                        clock,
                        new MinimumVersionRule(settings.limits().versionDeadline()),
                        withheld);
        this.placementRules =
                new PlacementRules(
                        settings, otherEntries, upstreams, limits, random, clock, metrics);
        long tickMillis = RunningTime.TICK_INTERVAL.toMillis();
        // The pause between ticks, not their rate, is fixed: the loop reads between any two.
        loop.scheduleWithFixedDelay(
                () -> runningTime.tick(clock.instant()),
                tickMillis,
                tickMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the event loop that all exchanges run on.
     *
     * @return event loop
     */
    EventLoop loop() {
        return loop;
    }

    /**
     * Returns the clock for deadlines and timeouts.
     *
     * @return monotonic clock
     */
    InstantSource clock() {
        return clock;
    }

    /**
     * Returns the time without the standstills of the event loop.
     *
     * @return running time for use on the event loop thread only
     */
    RunningTime runningTime() {
        return runningTime;
    }

    /**
     * Returns the bound of the responses that are being buffered.
     *
     * @return thread-safe budget
     */
    BufferBudget bufferBudget() {
        return memory.responses();
    }

    /**
     * Returns the bound of the request bodies that are held.
     *
     * @return admission for use on the event loop thread only
     */
    BodyAdmission bodies() {
        return memory.bodies();
    }

    /**
     * Returns the limits on callers that are in force.
     *
     * @return limits of the desired state, or the default before one is received
     */
    CallerLimits callerLimits() {
        return upstreams
                .snapshot()
                .desired()
                .map(DesiredState::limits)
                .orElse(CallerLimits.DEFAULT);
    }

    /**
     * Returns the upstreams that requests may be sent to.
     *
     * @return table of upstreams
     */
    UpstreamTable upstreams() {
        return upstreams;
    }

    /**
     * Returns the guard against requests that crash the upstreams that run them.
     *
     * @return guard, whose registries are thread-safe
     */
    PoisonGuard poison() {
        return poison;
    }

    /**
     * Returns the limits that upstreams have stated.
     *
     * @return thread-safe registry
     */
    UpstreamLimits limits() {
        return limits;
    }

    /**
     * Returns the recorder of what answers state of their upstreams.
     *
     * @return recorder for use on the event loop thread only
     */
    UpstreamStatements statements() {
        return statements;
    }

    /**
     * Returns the counters and histograms.
     *
     * @return metrics
     */
    ManagedEntryMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the random generator.
     *
     * @return generator for use on the event loop thread only
     */
    RandomGenerator random() {
        return random;
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param domain failure domain
     * @return region
     */
    RegionId region(DomainId domain) {
        return settings.region(domain);
    }

    /**
     * Returns the number of running entries, this one included.
     *
     * @return at least 1
     */
    int entryCount() {
        return otherEntries.all().size() + 1;
    }

    /**
     * Returns the retry budget of a service.
     *
     * @param service service
     * @return budget, created on first use
     */
    WindowedRetryBudget retryBudget(ServiceId service) {
        ManagedSettings.OperatorLimits limits = settings.limits();
        return retryBudgets.computeIfAbsent(
                service,
                s ->
                        new WindowedRetryBudget(
                                limits.retryRatio(), limits.retrySlack(), limits.retryWindow()));
    }

    /**
     * Returns the dispatch queue of a service.
     *
     * @param service service
     * @return queue, created on first use
     */
    DispatchQueue queue(ServiceId service) {
        return queues.computeIfAbsent(
                service, s -> new DispatchQueue(loop, clock, random, placementRules::foundNoRoom));
    }

    /**
     * Returns the rules by which upstreams are selected.
     *
     * @return rules for use on the event loop thread only
     */
    PlacementRules placement() {
        return placementRules;
    }

    /**
     * Counts and logs a request that has ended.
     *
     * @param request data of the request
     */
    void requestCompleted(RequestRecord request) {
        metrics.completed(request);
        request.log(upstreams.snapshot().desired().map(d -> d.version()).orElse(0L));
    }

    /**
     * Returns the bound of the header lines that are held.
     *
     * @return bound for use on the event loop thread only
     */
    HeaderLines headerLines() {
        return memory.headerLines();
    }

    /**
     * Returns the open connections of callers.
     *
     * @return connections for use on the event loop thread only
     */
    CallerConnections callers() {
        return callers;
    }

    /**
     * Returns the turns of the connections whose bytes cost much time.
     *
     * @return queue for use on the event loop thread only
     */
    TurnQueue turns() {
        return turns;
    }

    /**
     * Returns the time until which the desired state in force has every change.
     *
     * @return age for use on the event loop thread only
     */
    DesiredStateAge desiredAge() {
        return desiredAge;
    }

    /**
     * Returns whether the entry is stopping.
     *
     * @return true after {@link #stop(StopSchedule)}
     */
    boolean stopping() {
        return stop != null;
    }

    /**
     * Retries the waiting requests of all services, because a new snapshot may name other
     * upstreams.
     */
    void snapshotChanged() {
        queues.values().forEach(DispatchQueue::capacityAvailable);
    }

    /**
     * Marks the entry as stopping: from now on, connections close after their current response.
     *
     * @param schedule decides which requests are still taken
     */
    void stop(StopSchedule schedule) {
        stop = schedule;
    }

    /**
     * Returns whether a new request is taken.
     *
     * @param kind kind of the request
     * @param deadline when its answer is due
     * @param now present time
     * @return false if the entry stops and could not end the request
     */
    boolean accepts(RequestKind kind, Instant deadline, Instant now) {
        StopSchedule schedule = stop;
        return schedule == null || schedule.accepts(kind, deadline, now);
    }
}
