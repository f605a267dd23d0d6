package org.papayawalk.daemon.managed.entry;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.MinimumVersionRule;
import org.papayawalk.core.place.PlacementRule;
import org.papayawalk.core.place.WindowedRetryBudget;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.http.Connector;
import org.papayawalk.log.Event;

/**
 * What the exchanges of one entry share. Confined to the traffic thread, but for {@link
 * #suspects()}, which is thread-safe.
 */
final class EntryContext {
    /** Crashes after which a request is refused. */
    private static final int SUSPECT_CRASHES = 3;

    /** Time for which a crash counts against a request. */
    private static final Duration SUSPECT_MEMORY = Duration.ofSeconds(60);

    /** Longest time to connect to an upstream that may have crashed, in milliseconds. */
    private static final int CRASH_CHECK_MILLIS = 300;

    /** Settings of the process. */
    private final ManagedSettings settings;

    /** Traffic thread. */
    private final EventLoop loop;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Upstreams. */
    private final UpstreamTable fleet;

    /** Number of entries that are known to run, this one included. */
    private final IntSupplier entryCount;

    /** Counters and histograms. */
    private final ManagedEntryMetrics metrics;

    /** Source of random numbers. */
    private final RandomGenerator random = new SplittableRandom();

    /** Requests that crashed upstreams. */
    private final SuspectRegistry suspects = new SuspectRegistry(SUSPECT_CRASHES, SUSPECT_MEMORY);

    /** Budgets for sending requests once more, by service. */
    private final Map<ServiceId, WindowedRetryBudget> budgets = new HashMap<>();

    /** Requests that wait for room, by service. */
    private final Map<ServiceId, DispatchQueue> lines = new HashMap<>();

    /** Open connections of callers. */
    private final Set<CallerHandler> callers = new HashSet<>();

    /** Rules by which upstreams are chosen. */
    private final PlacementRules placements;

    /** Whether the daemon stops. */
    private volatile boolean stopping;

    /** Whether further requests are refused. */
    private volatile boolean closed;

    /**
     * Creates the shared part of an entry.
     *
     * @param settings settings of the process
     * @param loop traffic thread
     * @param clock clock that never jumps
     * @param entryCount number of entries that are known to run, this one included
     * @param metrics counters and histograms
     */
    EntryContext(
            ManagedSettings settings,
            EventLoop loop,
            InstantSource clock,
            IntSupplier entryCount,
            ManagedEntryMetrics metrics) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.entryCount = entryCount;
        this.metrics = metrics;
        this.placements = new PlacementRules(settings, entryCount, random);
        this.fleet =
                new UpstreamTable(
                        loop, clock, new MinimumVersionRule(settings.limits().versionDeadline()));
    }

    /**
     * Returns the traffic thread.
     *
     * @return event loop
     */
    EventLoop loop() {
        return loop;
    }

    /**
     * Returns the clock.
     *
     * @return clock that never jumps
     */
    InstantSource clock() {
        return clock;
    }

    /**
     * Returns the upstreams.
     *
     * @return fleet
     */
    UpstreamTable fleet() {
        return fleet;
    }

    /**
     * Returns the requests that crashed upstreams.
     *
     * @return registry
     */
    SuspectRegistry suspects() {
        return suspects;
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
     * Returns the source of random numbers.
     *
     * @return random generator
     */
    RandomGenerator random() {
        return random;
    }

    /**
     * Returns the number of entries that are known to run.
     *
     * @return at least 1
     */
    int entryCount() {
        return entryCount.getAsInt();
    }

    /**
     * Returns the budget of a service.
     *
     * @param service service
     * @return budget
     */
    WindowedRetryBudget budget(ServiceId service) {
        ManagedSettings.OperatorLimits b = settings.limits();
        return budgets.computeIfAbsent(
                service,
                s -> new WindowedRetryBudget(b.retryRatio(), b.retrySlack(), b.retryWindow()));
    }

    /**
     * Returns the waiting requests of a service.
     *
     * @param service service
     * @return line
     */
    DispatchQueue line(ServiceId service) {
        return lines.computeIfAbsent(service, s -> new DispatchQueue(loop, clock, random));
    }

    /**
     * Returns the rule by which upstreams of a service are chosen.
     *
     * @param service service
     * @return rule
     */
    PlacementRule placement(ServiceId service) {
        boolean engines = fleet.view().desired().flatMap(d -> d.engine(service)).isPresent();
        return engines ? placements.engines() : placements.plain();
    }

    /**
     * Returns the length of a prompt.
     *
     * @param service service of the request
     * @param tokens tokens of the prompt
     * @return length in prompts of usual length, 0 where there are no engines
     */
    double promptLength(ServiceId service, int tokens) {
        int usual =
                fleet.view()
                        .desired()
                        .flatMap(d -> d.engine(service))
                        .map(EngineSpec::meanPromptTokens)
                        .orElse(0);
        return usual == 0 ? 0 : (double) tokens / usual;
    }

    /**
     * Records a request that is over.
     *
     * @param request what is known of it
     */
    void ended(RequestRecord request) {
        metrics.ended(request);
        Event event =
                Event.named("request")
                        .with("id", request.requestId())
                        .with("status", request.status())
                        .with("route", request.route())
                        .with("service", request.service())
                        .with("team", request.team())
                        .with("upstreams", request.upstreams())
                        .with("sendings", request.sendings())
                        .with(
                                "first_ms",
                                request.firstAt().map(t -> millis(request, t)).orElse(-1L))
                        .with("total_ms", millis(request, request.endedAt()))
                        .with("desired", fleet.view().desired().map(d -> d.version()).orElse(0L));
        if (!request.reason().isEmpty()) {
            event.with("reason", request.reason());
        }
        event.info();
    }

    /**
     * Checks whether an upstream crashed under a request, and counts that against the request.
     *
     * @param fingerprint fingerprint of the request
     * @param upstream upstream whose connection was lost
     */
    void suspect(String fingerprint, UpstreamRegistration upstream) {
        Connector.connect(
                loop,
                upstream.address(),
                CRASH_CHECK_MILLIS,
                Channel::close,
                cause -> {
                    if (cause instanceof ConnectException) {
                        crashed(fingerprint, upstream);
                    }
                });
    }

    /**
     * Adds a connection of a caller.
     *
     * @param caller connection
     */
    void opened(CallerHandler caller) {
        callers.add(caller);
    }

    /**
     * Removes a connection of a caller.
     *
     * @param caller connection
     */
    void closed(CallerHandler caller) {
        callers.remove(caller);
    }

    /**
     * Returns the open connections of callers.
     *
     * @return copy of the set
     */
    Set<CallerHandler> callers() {
        return Set.copyOf(callers);
    }

    /**
     * Tells whether the daemon stops.
     *
     * @return true once it was told to
     */
    boolean stopping() {
        return stopping;
    }

    /** Lets requests that wait look for room in the new view. */
    void viewChanged() {
        lines.values().forEach(DispatchQueue::roomMade);
    }

    /** Lets answers end their connections from now on. */
    void stop() {
        stopping = true;
    }

    /** Refuses further requests, which could not be sure of their end before the process ends. */
    void closeDoors() {
        closed = true;
    }

    /**
     * Tells whether further requests are refused.
     *
     * @return true some seconds after the daemon was told to stop
     */
    boolean closed() {
        return closed;
    }

    /**
     * Counts a crash against a request.
     *
     * @param fingerprint fingerprint of the request
     * @param upstream upstream that crashed
     */
    private void crashed(String fingerprint, UpstreamRegistration upstream) {
        Instant now = clock.instant();
        String process = upstream.id() + "/" + upstream.incarnation();
        if (suspects.recordCrash(fingerprint, process, now)) {
            Event.named("request-suspected")
                    .with("fingerprint", fingerprint)
                    .with("upstream", process)
                    .with("verdict", suspects.verdict(fingerprint, now))
                    .warn();
        }
    }

    /**
     * Returns the time since a request was read.
     *
     * @param request request
     * @param at later time
     * @return milliseconds
     */
    private static long millis(RequestRecord request, Instant at) {
        return Duration.between(request.readAt(), at).toMillis();
    }
}
