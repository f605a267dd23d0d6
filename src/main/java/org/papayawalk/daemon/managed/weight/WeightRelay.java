package org.papayawalk.daemon.managed.weight;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.desired.ServiceSpec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.weight.FinishFirstRule;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.OriginShare;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.daemon.swarm.DownloadProgress;
import org.papayawalk.daemon.swarm.StagingArea;
import org.papayawalk.wire.MessageHandler;

/**
 * Fetches the newest requested version of the weights, or version 1 if none was requested, and
 * serves it to the agents of the region. A version that is new, see {@link
 * ManagedSwarm#isNewVersion}, is fetched at once, unless the one before it is nearly complete, see
 * {@link FinishFirstRule}. Any other version is already held by the agents, and is fetched from
 * them after a delay. Confined to the control thread, except {@link #handler()}, which is
 * thread-safe.
 */
public final class WeightRelay {
    /**
     * Number of threads for blocking calls: the requests to the origin, see {@link OriginShare},
     * and one that verifies what peers send meanwhile.
     */
    private static final int WORKERS = 5;

    /** Delay before a version that agents hold already is fetched; agents fetch theirs first. */
    private static final Duration OLD_VERSION_DELAY = Duration.ofSeconds(6);

    /** Pause before it is decided again whether the version being fetched is finished first. */
    private static final Duration FINISH_CHECK_PAUSE = Duration.ofMillis(50);

    private static final FinishFirstRule FINISH_FIRST_RULE = FinishFirstRule.DEFAULT;

    private final ManagedNode node;

    /** Runs blocking calls. */
    private final ExecutorService work = Executors.newFixedThreadPool(WORKERS);

    private final ManagedOrigin origin;

    private final ManagedSwarm swarm;

    /** Version to fetch and serve; empty until a snapshot has an engine service with a model. */
    private Optional<WeightVersion> current = Optional.empty();

    /** Whether the current version is fetched after a delay, because agents hold it. */
    private boolean fetchDelayed;

    /** Whether {@link #scheduleFinishCheck} has scheduled a check that has not run yet. */
    private boolean finishCheckScheduled;

    /**
     * Creates a relay without a version and adds it as a listener of platform snapshots.
     *
     * @param node services shared by the parts of the daemon
     */
    public WeightRelay(ManagedNode node) {
        this.node = node;
        origin = new ManagedOrigin(node.http(), node.state()::snapshot);
        swarm = new ManagedSwarm(node, Optional.empty(), origin, new NoOpStagingArea(), work);
        node.state().addListener(this::snapshotChanged);
    }

    /**
     * Returns the handler for messages of peers about weights.
     *
     * @return thread-safe handler
     */
    public MessageHandler handler() {
        return swarm.handler();
    }

    private void snapshotChanged(PlatformSnapshot snapshot) {
        Optional<ServiceSpec> engineService =
                snapshot.desired().flatMap(WeightRelay::engineService);
        Optional<String> model =
                engineService.flatMap(ServiceSpec::engine).flatMap(EngineSpec::model);
        if (model.isEmpty() || snapshot.upstreams().isEmpty()) {
            return;
        }
        Optional<RequestedVersion> requested = snapshot.newestVersion(model.get());
        WeightVersion version =
                new WeightVersion(model.get(), requested.map(RequestedVersion::number).orElse(1));
        Optional<ServiceId> service = engineService.map(ServiceSpec::id);
        boolean served =
                snapshot.isServed(service.orElseThrow(), version.model(), version.number());
        boolean isNew = swarm.isNewVersion(requested, served);
        boolean unchanged = current.equals(Optional.of(version));
        boolean urgentNow = fetchDelayed && isNew;
        if (unchanged && !urgentNow) {
            return;
        }
        if (!unchanged && requested.isPresent() && finishesCurrent(requested.get())) {
            scheduleFinishCheck();
            return;
        }
        current = Optional.of(version);
        fetchDelayed = !isNew;
        Duration delay = isNew ? Duration.ZERO : OLD_VERSION_DELAY;
        node.thread().schedule(delay, () -> fetch(version, isNew, service, requested));
    }

    private void scheduleFinishCheck() {
        if (finishCheckScheduled) {
            return;
        }
        finishCheckScheduled = true;
        node.thread()
                .schedule(
                        FINISH_CHECK_PAUSE,
                        () -> {
                            finishCheckScheduled = false;
                            snapshotChanged(node.state().snapshot());
                        });
    }

    private boolean finishesCurrent(RequestedVersion newer) {
        DownloadProgress progress = swarm.swarm().progress();
        boolean incomplete =
                current.filter(c -> c.digest().equals(progress.digest())).isPresent()
                        && !progress.staged();
        return incomplete
                && FINISH_FIRST_RULE.finishes(
                        progress.heldChunks(),
                        progress.totalChunks(),
                        newer.receivedAt(),
                        node.clock().instant());
    }

    // Does nothing if another version has become the current one during the delay, or if the fetch
    // has become urgent meanwhile, because the engines that served the version are gone.
    private void fetch(
            WeightVersion version,
            boolean isNew,
            Optional<ServiceId> service,
            Optional<RequestedVersion> requested) {
        boolean overtaken = !isNew && !fetchDelayed;
        if (current.equals(Optional.of(version)) && !overtaken) {
            fetchDelayed = false;
            origin.register(version);
            swarm.setWantedVersion(version, isNew, service, requested);
        }
    }

    // Returns the first service by name that has engines, or empty.
    private static Optional<ServiceSpec> engineService(DesiredState desired) {
        return desired.services().values().stream()
                .filter(s -> s.engine().isPresent())
                .min((a, b) -> a.id().compareTo(b.id()));
    }

    /**
     * Staging area of a host without an engine: accepts every chunk and stores none. Thread-safe.
     */
    private static final class NoOpStagingArea implements StagingArea {

        @Override
        public void reset() {
            // There is no staged state to discard.
        }

        @Override
        public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
            return true;
        }
    }
}
