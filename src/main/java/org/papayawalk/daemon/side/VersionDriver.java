package org.papayawalk.daemon.side;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.papayawalk.core.Fault;
import org.papayawalk.core.upstream.EngineReport;
import org.papayawalk.daemon.agent.FoundManifest;
import org.papayawalk.daemon.agent.Swarm;
import org.papayawalk.daemon.agent.WeightProgress;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.log.Event;

/**
 * Brings the engine to the version wanted: lets the swarm fetch and stage it, checks what is
 * staged, and orders the engine to load it. Only the agent beside an engine orders it, and an order
 * names the state that it was decided on. Confined to the control thread; calls run on a worker,
 * one at a time.
 */
final class VersionDriver {
    /** Pause between looks while the engine is not at the version wanted. */
    private static final Duration LOOK = Duration.ofMillis(150);

    /** Pause between looks while it is. */
    private static final Duration CALM_LOOK = Duration.ofMillis(700);

    /** Engine. */
    private final LocalEngine engine;

    /** Fetches weights. */
    private final Swarm swarm;

    /** Runs calls. */
    private final Executor work;

    /** Control thread. */
    private final ControlThread thread;

    /** Clock that never jumps. */
    private final InstantSource clock;

    /** Version wanted, empty while it is not known. */
    private final Supplier<Optional<WeightVersion>> wanted;

    /** Checks what is staged. */
    private final StagedCheck check;

    /** Version that the swarm fetches. */
    private Optional<WeightVersion> fetching = Optional.empty();

    /** When the version was first wanted. */
    private Instant wantedAt = Instant.MIN;

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
     * @param wanted version wanted, empty while it is not known
     */
    VersionDriver(
            LocalEngine engine,
            Swarm swarm,
            Executor work,
            ControlThread thread,
            InstantSource clock,
            Supplier<Optional<WeightVersion>> wanted) {
        this.engine = engine;
        this.swarm = swarm;
        this.work = work;
        this.thread = thread;
        this.clock = clock;
        this.wanted = wanted;
        this.check = new StagedCheck(engine, swarm);
    }

    /** Starts to look after the engine. */
    void start() {
        look();
    }

    /** Lets the swarm fetch the version wanted and asks the engine where it is. */
    private void look() {
        Optional<WeightVersion> version = wanted.get();
        if (version.isEmpty()) {
            thread.later(LOOK, this::look);
            return;
        }
        if (!version.equals(fetching)) {
            fetching = version;
            settled = false;
            wantedAt = clock.instant();
            swarm.want(version.get().key());
            Event.named("weights-wanted").with("version", version.get()).info();
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
     * @param version version that was wanted when it was asked for
     * @param result report or fault
     */
    private void reported(WeightVersion version, Either<Fault, EngineReport> result) {
        if (result.isLeft() || !Optional.of(version).equals(fetching)) {
            thread.later(LOOK, this::look);
            return;
        }
        EngineReport report = result.get();
        noteIncarnation(report);
        Integer held = report.models().get(version.model());
        if (held != null && held >= version.number()) {
            settle(version);
            thread.later(CALM_LOOK, this::look);
            return;
        }
        settled = false;
        WeightProgress progress = swarm.progress();
        boolean staged = progress.staged() && progress.digest().equals(version.key());
        if (!staged || report.loading()) {
            thread.later(LOOK, this::look);
            return;
        }
        swarm.manifest(version.key(), found -> found.ifPresent(m -> order(version, m, report)));
        thread.later(LOOK, this::look);
    }

    /**
     * Checks what is staged and orders the engine to load it.
     *
     * @param version version
     * @param found manifest of the version
     * @param report state of the engine
     */
    private void order(WeightVersion version, FoundManifest found, EngineReport report) {
        if (ordering) {
            return;
        }
        ordering = true;
        work.execute(
                () -> {
                    try {
                        if (check.whole(version, found.manifest())) {
                            Either<Fault, Boolean> taken = engine.load(version, report.orders());
                            Event.named("load-ordered")
                                    .with("version", version)
                                    .with("orders_seen", report.orders())
                                    .with("outcome", taken.fold(Fault::toString, t -> "taken=" + t))
                                    .info();
                        }
                    } finally {
                        ordering = false;
                    }
                });
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
