package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.papayawalk.core.Fault;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.rollout.SwitchSchedule;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.core.weight.FinishFirstRule;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.daemon.managed.weight.ManagedSwarm;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.swarm.DownloadProgress;
import org.papayawalk.daemon.swarm.VerifiedManifest;
import org.papayawalk.log.Event;

/**
 * Brings the engine to the target version: has the swarm fetch and stage it, verifies what is
 * staged, and orders the engine to load it. Only the agent beside an engine sends it orders, an
 * order names the state of the engine that it is based on, and nothing is staged while an order is
 * decided, in progress, or unanswered and not yet settled. Confined to the control thread; blocking
 * calls run on a worker, one at a time.
 */
final class VersionReconciler {
    // Pause between reports of the engine while it does not serve the target version.
    private static final Duration POLL_INTERVAL = Duration.ofMillis(150);

    // Pause between reports of the engine while it serves the target version.
    private static final Duration SETTLED_POLL_INTERVAL = Duration.ofMillis(700);

    private static final FinishFirstRule FINISH_FIRST_RULE = FinishFirstRule.DEFAULT;

    // Time that it takes to fetch and stage a new version and to switch to it.
    private static final Duration FETCH_AND_SWITCH_TIME = Duration.ofMillis(4800);

    private final LocalEngine engine;

    private final ManagedSwarm swarm;

    private final Executor work;

    private final ControlThread thread;

    private final InstantSource clock;

    private final TargetVersion target;

    private final EngineAnnouncer announcer;

    private final VerifiedLoad load;

    private Optional<WeightVersion> fetching = Optional.empty();

    private Instant fetchStartedAt = Instant.MIN;

    // Number of the version that the engine served at its last report.
    private Optional<Integer> lastServed = Optional.empty();

    // Completely staged version that was not loaded at the last report.
    private Optional<StagedVersion> staged = Optional.empty();

    // Whether the last report had the target version.
    private boolean settled;

    // Start of the engine process as last reported, -1 before the first report.
    private long incarnation = -1;

    // Order that the engine may still accept. Staging is stopped while there is one.
    private Optional<UnansweredOrder> unansweredOrder = Optional.empty();

    // Number of the next poll; timers of earlier ones have no effect.
    private int pollNumber;

    // Whether the engine is being asked for its report.
    private boolean reporting;

    // Whether something new calls for a poll right after the present report.
    private boolean pollAgain;

    // Whether a worker verifies the staged version or sends an order.
    private volatile boolean loadInProgress;

    /**
     * Creates a reconciler that does not run yet.
     *
     * @param engine engine beside this process
     * @param swarm fetches and stages weights
     * @param work runs blocking calls
     * @param thread control thread
     * @param clock monotonic clock
     * @param target target version, and the versions requested before it
     * @param announcer tells entries of the engine's loads
     */
    VersionReconciler(
            LocalEngine engine,
            ManagedSwarm swarm,
            Executor work,
            ControlThread thread,
            InstantSource clock,
            TargetVersion target,
            EngineAnnouncer announcer) {
        this.engine = engine;
        this.swarm = swarm;
        this.work = work;
        this.thread = thread;
        this.clock = clock;
        this.target = target;
        this.announcer = announcer;
        this.load = new VerifiedLoad(engine, announcer, clock, InstantSource.system());
    }

    /** Starts to poll the engine. */
    void start() {
        swarm.swarm().onComplete(() -> thread.execute(this::downloadComplete));
        poll();
    }

    /** Starts to fetch a newly requested version without waiting for the next poll. */
    void snapshotChanged() {
        Optional<WeightVersion> targetVersion = target.version();
        boolean changed = fetching.isPresent() && !targetVersion.equals(fetching);
        if (changed && targetVersion.isPresent() && !finishesCurrentFetch()) {
            startFetch(targetVersion.get(), lastServed);
        }
    }

    private void downloadComplete() {
        fetching.ifPresent(this::recordIfStaged);
    }

    private void poll() {
        Optional<WeightVersion> version = target.version();
        if (version.isEmpty()) {
            schedulePoll(POLL_INTERVAL);
            return;
        }
        reporting = true;
        work.execute(
                () -> {
                    Either<Fault, EngineReport> report = engine.report();
                    thread.execute(
                            () -> {
                                reporting = false;
                                handleReport(version.get(), report);
                            });
                });
    }

    private void schedulePoll(Duration pause) {
        pollNumber++;
        int number = pollNumber;
        Duration left = pollAgain ? Duration.ZERO : pause;
        pollAgain = false;
        thread.schedule(
                left,
                () -> {
                    if (number == pollNumber) {
                        poll();
                    }
                });
    }

    // Does not wait for the next poll, of which at most one is in progress.
    private void pollSoon() {
        pollAgain = true;
        if (!reporting) {
            schedulePoll(Duration.ZERO);
        }
    }

    // The first argument is the target version when the report was requested.
    private void handleReport(WeightVersion targetVersion, Either<Fault, EngineReport> result) {
        Optional<Integer> served =
                result.toJavaOptional().map(r -> r.models().get(targetVersion.model()));
        if (result.isLeft()) {
            schedulePoll(POLL_INTERVAL);
            return;
        }
        // The download begins with what is staged, which can be read only once the engine answers.
        if (fetching.isEmpty()) {
            startFetch(targetVersion, served);
        }
        lastServed = served;
        recordIfStaged(fetching.get());
        if (!Optional.of(targetVersion).equals(fetching) && !finishesCurrentFetch()) {
            startFetch(targetVersion, served);
        }
        EngineReport report = result.get();
        announcer.reported(targetVersion.model(), report, clock.instant());
        recordIncarnation(report);
        if (unansweredOrder.isPresent() && !settleOrder(report)) {
            schedulePoll(POLL_INTERVAL);
            return;
        }
        if (served.isPresent() && served.get() >= targetVersion.number()) {
            recordServing(targetVersion);
            schedulePoll(SETTLED_POLL_INTERVAL);
            return;
        }
        settled = false;
        boolean superseded = staged.filter(s -> !s.version().equals(targetVersion)).isPresent();
        boolean alreadyServed =
                staged.isPresent() && served.filter(n -> n >= stagedNumber()).isPresent();
        boolean beingFetched = staged.map(StagedVersion::version).equals(fetching);
        if (superseded && !beingFetched && (alreadyServed || !engine.stagingHeld())) {
            staged = Optional.empty();
            engine.holdStaging(false);
        }
        if (staged.isPresent() && !report.loading() && !alreadyServed && switchDue(served)) {
            StagedVersion version = staged.get();
            verifyAndLoad(version, i -> cachedChunk(version.version(), i), report, true);
        }
        schedulePoll(POLL_INTERVAL);
    }

    // Returns whether a newer version waits for the one being fetched, because much of that is
    // held and the newer one can still reach all hosts in time.
    private boolean finishesCurrentFetch() {
        DownloadProgress progress = swarm.swarm().progress();
        WeightVersion currentVersion = fetching.orElseThrow();
        boolean alreadyStaged = staged.map(StagedVersion::version).equals(fetching);
        boolean incomplete = progress.digest().equals(currentVersion.digest()) && !alreadyStaged;
        boolean useful = lastServed.filter(n -> n >= currentVersion.number()).isEmpty();
        List<RequestedVersion> versions = target.requestedVersions();
        Instant requestedAt =
                versions.isEmpty() ? Instant.MIN : versions.get(versions.size() - 1).receivedAt();
        return incomplete
                && useful
                && FINISH_FIRST_RULE.finishes(
                        progress.heldChunks(),
                        progress.totalChunks(),
                        requestedAt,
                        clock.instant());
    }

    // If another version is staged already, and the version that the engine serves expires
    // before the new one can be staged, the engine loads the staged one first.
    private void startFetch(WeightVersion targetVersion, Optional<Integer> served) {
        Instant now = clock.instant();
        Optional<RequestedVersion> requested =
                target.requestedVersions().stream()
                        .filter(v -> v.number() == targetVersion.number())
                        .findFirst();
        boolean isNew = swarm.isNewVersion(requested, false);
        boolean expiresSoon =
                served.filter(n -> target.validUntil(n).isBefore(now.plus(FETCH_AND_SWITCH_TIME)))
                        .isPresent();
        boolean loadStagedFirst =
                staged.isPresent()
                        && expiresSoon
                        && served.filter(n -> n < stagedNumber()).isPresent();
        engine.holdStaging(loadStagedFirst);
        if (!loadStagedFirst) {
            staged = Optional.empty();
        }
        fetching = Optional.of(targetVersion);
        settled = false;
        fetchStartedAt = now;
        swarm.setWantedVersion(targetVersion, isNew, Optional.empty(), Optional.empty());
        Event.named("weights-wanted")
                .with("version", targetVersion)
                .with("held", served.map(String::valueOf).orElse("none"))
                .with("first", loadStagedFirst ? staged.get().version() : "none")
                .info();
    }

    private void recordIfStaged(WeightVersion version) {
        DownloadProgress progress = swarm.swarm().progress();
        boolean complete = progress.staged() && progress.digest().equals(version.digest());
        if (!complete || staged.filter(s -> s.version().equals(version)).isPresent()) {
            return;
        }
        Instant now = clock.instant();
        Consumer<VerifiedManifest> take =
                m -> {
                    staged = Optional.of(new StagedVersion(version, m.manifest(), now));
                    pollSoon();
                };
        swarm.swarm()
                .manifest(version.digest(), found -> thread.execute(() -> found.ifPresent(take)));
    }

    // Returns 0 if no version is staged.
    private int stagedNumber() {
        return staged.map(s -> s.version().number()).orElse(0);
    }

    // Returns whether the time at which this host may switch to the staged version was reached.
    private boolean switchDue(Optional<Integer> served) {
        StagedVersion s = staged.orElseThrow();
        Instant at =
                SwitchSchedule.switchTime(
                        s.stagedAt(),
                        served.map(target::validUntil),
                        swarm.switchPosition(s.version()));
        return !at.isAfter(clock.instant());
    }

    // Repeats an order that the engine has not answered, until one copy of it is accepted: then the
    // engine refuses all others, as they are based on an outdated number of orders. After the last
    // copy, the version is kept whole, as that one may be accepted too. Returns whether the order
    // is settled.
    private boolean settleOrder(EngineReport report) {
        UnansweredOrder order = unansweredOrder.orElseThrow();
        if (loadInProgress) {
            return false;
        }
        Instant now = engine.answeredTime();
        if (!order.open().isSettledBy(report, now)) {
            if (!report.loading()) {
                boolean repeated = order.open().mayBeRepeated(now);
                verifyAndLoad(order.staged(), order::copy, report, repeated);
            }
            return false;
        }
        unansweredOrder = Optional.empty();
        engine.holdStaging(false);
        engine.resumeStaging();
        Event.named("load-order-settled")
                .with("version", order.staged().version())
                .with("orders", report.orders())
                .info();
        return true;
    }

    private Optional<byte[]> cachedChunk(WeightVersion version, int index) {
        return swarm.swarm().chunk(version.digest(), index).join();
    }

    private void verifyAndLoad(
            StagedVersion version,
            IntFunction<Optional<byte[]>> copies,
            EngineReport report,
            boolean mayOrder) {
        if (loadInProgress) {
            return;
        }
        loadInProgress = true;
        Instant sentAt =
                unansweredOrder.map(o -> o.open().sentAt()).orElseGet(engine::answeredTime);
        work.execute(
                () -> {
                    LoadOutcome outcome = LoadOutcome.UNVERIFIED;
                    // Kept before the order is sent, as the cache may drop them afterwards.
                    UnansweredOrder order = UnansweredOrder.of(version, report, copies, sentAt);
                    engine.stopStaging();
                    try {
                        outcome = load.verifyAndOrder(version, order::copy, report, mayOrder);
                    } finally {
                        LoadOutcome ended = outcome;
                        thread.execute(() -> loadEnded(ended, order));
                    }
                });
    }

    private void loadEnded(LoadOutcome outcome, UnansweredOrder order) {
        loadInProgress = false;
        if (outcome == LoadOutcome.UNANSWERED && unansweredOrder.isEmpty()) {
            unansweredOrder = Optional.of(order);
        } else {
            engine.resumeStaging();
        }
        if (outcome == LoadOutcome.ACCEPTED) {
            return;
        }
        announcer.loadNotAccepted();
        // After an outdated verification, the next report leads to another one.
        if (unansweredOrder.isEmpty() && outcome != LoadOutcome.OUTDATED) {
            engine.holdStaging(false);
        }
    }

    private void recordServing(WeightVersion version) {
        if (settled) {
            return;
        }
        settled = true;
        Event.named("weights-in-service")
                .with("version", version)
                .with("after_ms", Duration.between(fetchStartedAt, clock.instant()).toMillis())
                .info();
    }

    private void recordIncarnation(EngineReport report) {
        if (incarnation >= 0 && incarnation != report.incarnation()) {
            Event.named("engine-restarted").with("incarnation", report.incarnation()).info();
        }
        incarnation = report.incarnation();
    }
}
