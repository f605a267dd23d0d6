package org.papayawalk.daemon.managed.agent;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.papayawalk.core.Fault;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.rollout.SwitchTime;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.daemon.managed.weight.ManagedSwarm;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.daemon.standalone.agent.DownloadProgress;
import org.papayawalk.daemon.standalone.agent.VerifiedManifest;
import org.papayawalk.log.Event;

/**
 * Brings the engine to the version wanted: lets the swarm fetch and stage it, checks what is
 * staged, and orders the engine to load it. Only the agent beside an engine orders it, an order
 * names the state that it was decided on, and nothing is staged while one is decided or under way.
 * Confined to the control thread; calls run on a worker, one at a time.
 */
final class VersionReconciler {
    /** Pause between looks while the engine is not at the version wanted. */
    private static final Duration LOOK = Duration.ofMillis(150);

    /** Pause between looks while it is. */
    private static final Duration CALM_LOOK = Duration.ofMillis(700);

    /** A version of which one part in this many is here is fetched to its end. */
    private static final int FINISH_PART = 3;

    /** Longest time that a newer version waits for that. */
    private static final Duration FINISH_LIMIT = Duration.ofMillis(2200);

    /** Time that fetching, staging and switching to a new version takes. */
    private static final Duration FETCH_AND_SWITCH = Duration.ofMillis(4800);

    /** Time in which an order without an answer may still be taken. */
    private static final Duration ORDER_SETTLES = Duration.ofMillis(800);

    /** Engine. */
    private final LocalEngine engine;

    /** Fetches weights. */
    private final ManagedSwarm swarm;

    /** Runs calls. */
    private final Executor work;

    /** Control thread. */
    private final ControlThread thread;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Version wanted, and those named before. */
    private final TargetVersion wanted;

    /** Checks what is staged. */
    private final StagedChunkVerifier check;

    /** Version that the swarm fetches. */
    private Optional<WeightVersion> fetching = Optional.empty();

    /** When the version was first wanted. */
    private Instant wantedAt = Instant.MIN;

    /** Version that the engine served when last seen. */
    private Optional<Integer> lastHeld = Optional.empty();

    /** Version that is staged to its end and was not loaded when last seen. */
    private Optional<StagedVersion> staged = Optional.empty();

    /** Whether the engine was seen at the version wanted. */
    private boolean settled;

    /** Start of the engine's process as last reported, -1 before the first report. */
    private long incarnation = -1;

    /** Whether a check and order is under way. */
    private volatile boolean ordering;

    /**
     * Creates a driver that does not run yet.
     *
     * @param engine engine
     * @param swarm fetches weights
     * @param work runs calls
     * @param thread control thread
     * @param clock clock that never jumps
     * @param wanted version wanted, and those named before
     */
    VersionReconciler(
            LocalEngine engine,
            ManagedSwarm swarm,
            Executor work,
            ControlThread thread,
            InstantSource clock,
            TargetVersion wanted) {
        this.engine = engine;
        this.swarm = swarm;
        this.work = work;
        this.thread = thread;
        this.clock = clock;
        this.wanted = wanted;
        this.check = new StagedChunkVerifier(engine, swarm.swarm());
    }

    /** Starts to look after the engine. */
    void start() {
        look();
    }

    /** Lets the swarm fetch a version as soon as it is named, without waiting for the next look. */
    void viewChanged() {
        Optional<WeightVersion> newest = wanted.version();
        boolean changed = fetching.isPresent() && !newest.equals(fetching);
        if (changed && newest.isPresent() && !finishesFirst()) {
            fetch(newest.get(), lastHeld);
        }
    }

    /** Lets the swarm fetch the version wanted and asks the engine where it is. */
    private void look() {
        Optional<WeightVersion> version = wanted.version();
        if (version.isEmpty()) {
            thread.later(LOOK, this::look);
            return;
        }
        work.execute(
                () -> {
                    Either<Fault, EngineReport> report = engine.report();
                    thread.run(() -> reported(version.get(), report));
                });
    }

    /**
     * Takes the engine's report.
     *
     * @param newest newest version that was wanted when it was asked for
     * @param result report or fault
     */
    private void reported(WeightVersion newest, Either<Fault, EngineReport> result) {
        Optional<Integer> held = result.toJavaOptional().map(r -> r.models().get(newest.model()));
        if (fetching.isEmpty()) {
            fetch(newest, held);
        }
        if (result.isLeft()) {
            thread.later(LOOK, this::look);
            return;
        }
        lastHeld = held;
        noteStaged(fetching.get());
        if (!Optional.of(newest).equals(fetching) && !finishesFirst()) {
            fetch(newest, held);
        }
        EngineReport report = result.get();
        noteIncarnation(report);
        if (held.isPresent() && held.get() >= newest.number()) {
            settle(newest);
            thread.later(CALM_LOOK, this::look);
            return;
        }
        settled = false;
        boolean superseded = staged.filter(s -> !s.version().equals(newest)).isPresent();
        boolean done = staged.isPresent() && held.filter(h -> h >= number()).isPresent();
        boolean beingFetched = staged.map(StagedVersion::version).equals(fetching);
        if (superseded && !beingFetched && (done || !engine.holdsStaging())) {
            staged = Optional.empty();
            engine.holdStaging(false);
        }
        if (staged.isPresent() && !report.loading() && !done && due(held)) {
            order(staged.get(), report);
        }
        thread.later(LOOK, this::look);
    }

    /**
     * Tells whether the version that is fetched comes to its end before a newer one is begun,
     * because much of it is here and the newer one can still be everywhere in time.
     *
     * @return true if the newer version waits
     */
    private boolean finishesFirst() {
        DownloadProgress progress = swarm.swarm().progress();
        WeightVersion current = fetching.orElseThrow();
        boolean noted = staged.map(StagedVersion::version).equals(fetching);
        boolean open = progress.digest().equals(current.digest()) && !noted;
        boolean useful = lastHeld.filter(h -> h >= current.number()).isEmpty();
        boolean far = progress.heldChunks() * FINISH_PART >= Math.max(1, progress.totalChunks());
        List<RequestedVersion> named = wanted.named();
        Instant newestAt = named.isEmpty() ? Instant.MIN : named.get(named.size() - 1).receivedAt();
        boolean early = newestAt.plus(FINISH_LIMIT).isAfter(clock.instant());
        return open && useful && far && early;
    }

    /**
     * Lets the swarm fetch a version. If another one is staged already, and the engine's own will
     * not last until the new one can be staged, the engine gets the staged one first.
     *
     * @param newest version
     * @param held version that the engine serves
     */
    private void fetch(WeightVersion newest, Optional<Integer> held) {
        Instant now = clock.instant();
        boolean isNew =
                swarm.isNewVersion(
                        wanted.named().stream()
                                .filter(v -> v.number() == newest.number())
                                .findFirst());
        boolean ends =
                held.filter(h -> wanted.endOf(h).isBefore(now.plus(FETCH_AND_SWITCH))).isPresent();
        boolean first = staged.isPresent() && ends && held.filter(h -> h < number()).isPresent();
        engine.holdStaging(first);
        if (!first) {
            staged = Optional.empty();
        }
        fetching = Optional.of(newest);
        settled = false;
        wantedAt = now;
        swarm.setWantedVersion(newest, isNew, Optional.empty());
        Event.named("weights-wanted")
                .with("version", newest)
                .with("held", held.map(String::valueOf).orElse("none"))
                .with("first", first ? staged.get().version() : "none")
                .info();
    }

    /**
     * Records that the version wanted is staged to its end.
     *
     * @param newest version wanted
     */
    private void noteStaged(WeightVersion newest) {
        DownloadProgress progress = swarm.swarm().progress();
        boolean complete = progress.staged() && progress.digest().equals(newest.digest());
        if (!complete || staged.filter(s -> s.version().equals(newest)).isPresent()) {
            return;
        }
        Instant now = clock.instant();
        Consumer<VerifiedManifest> take =
                m -> staged = Optional.of(new StagedVersion(newest, m.manifest(), now));
        swarm.swarm().manifest(newest.digest(), found -> thread.run(() -> found.ifPresent(take)));
    }

    /**
     * Returns the number of the staged version.
     *
     * @return number, 0 if none is staged
     */
    private int number() {
        return staged.map(s -> s.version().number()).orElse(0);
    }

    /**
     * Tells whether it is this host's time to switch to the staged version.
     *
     * @param held version that the engine serves
     * @return true if it is
     */
    private boolean due(Optional<Integer> held) {
        StagedVersion s = staged.orElseThrow();
        Instant at =
                SwitchTime.of(
                        s.stagedAt(), held.map(wanted::endOf), swarm.switchPosition(s.version()));
        return !at.isAfter(clock.instant());
    }

    /**
     * Checks what is staged and orders the engine to load it.
     *
     * @param target staged version
     * @param report state of the engine
     */
    private void order(StagedVersion target, EngineReport report) {
        if (ordering) {
            return;
        }
        ordering = true;
        Runnable resume = engine::resumeStaging;
        work.execute(
                () -> {
                    Either<Fault, Boolean> taken = Either.right(false);
                    engine.stopStaging();
                    try {
                        if (check.whole(target)) {
                            taken = load(target.version(), report);
                        }
                    } finally {
                        ordering = false;
                        thread.later(taken.fold(f -> ORDER_SETTLES, t -> Duration.ZERO), resume);
                    }
                    if (!taken.getOrElse(false)) {
                        engine.holdStaging(false);
                    }
                });
    }

    /**
     * Orders the engine to load the staged version.
     *
     * @param version version
     * @param report state of the engine that the order is decided on
     * @return whether the engine took the order, or fault if that is not known
     */
    private Either<Fault, Boolean> load(WeightVersion version, EngineReport report) {
        Either<Fault, Boolean> taken = engine.load(version, report.orders());
        Event.named("load-ordered")
                .with("version", version)
                .with("orders_seen", report.orders())
                .with("outcome", taken.fold(Fault::toString, t -> "taken=" + t))
                .info();
        return taken;
    }

    /**
     * Records that the engine serves the version wanted.
     *
     * @param version version
     */
    private void settle(WeightVersion version) {
        if (settled) {
            return;
        }
        settled = true;
        Event.named("weights-in-service")
                .with("version", version)
                .with("after_ms", Duration.between(wantedAt, clock.instant()).toMillis())
                .info();
    }

    /**
     * Records a restart of the engine.
     *
     * @param report report of the engine
     */
    private void noteIncarnation(EngineReport report) {
        if (incarnation >= 0 && incarnation != report.incarnation()) {
            Event.named("engine-restarted").with("incarnation", report.incarnation()).info();
        }
        incarnation = report.incarnation();
    }
}
