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
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.agent.Stager;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.wire.MessageHandler;

/**
 * Keeps the newest version of the weights for the agents of the region, once one is named while
 * this daemon runs. Versions that were named before are with the agents already. Confined to the
 * control thread, but for {@link #handler()}.
 */
public final class WeightRelay {
    /** Threads for calls that block. */
    private static final int WORKERS = 2;

    /** Time after which a version is fetched that agents hold already; they come first. */
    private static final Duration OLD_VERSION_DELAY = Duration.ofSeconds(6);

    /** Common part of the daemon. */
    private final ManagedNode node;

    /** Threads for calls that block. */
    private final ExecutorService work = Executors.newFixedThreadPool(WORKERS);

    /** Origin of the weights. */
    private final ManagedOrigin origin;

    /** Exchange of chunks. */
    private final ManagedSwarm swarm;

    /** Version that is kept. */
    private Optional<WeightVersion> kept = Optional.empty();

    /**
     * Creates a relay that keeps nothing yet.
     *
     * @param node common part of the daemon
     */
    public WeightRelay(ManagedNode node) {
        this.node = node;
        origin = new ManagedOrigin(node.http(), node.state()::snapshot);
        swarm = new ManagedSwarm(node, Optional.empty(), origin, new NoEngine(), work);
        node.state().addListener(this::viewChanged);
    }

    /**
     * Returns the handler of other daemons' messages about weights.
     *
     * @return handler
     */
    public MessageHandler handler() {
        return swarm.handler();
    }

    /**
     * Takes a new view.
     *
     * @param view view
     */
    private void viewChanged(PlatformSnapshot view) {
        Optional<ServiceSpec> engines = view.desired().flatMap(WeightRelay::engines);
        Optional<String> model = engines.flatMap(ServiceSpec::engine).flatMap(EngineSpec::model);
        if (model.isEmpty() || view.upstreams().isEmpty()) {
            return;
        }
        Optional<RequestedVersion> named = view.newestVersion(model.get());
        WeightVersion version =
                new WeightVersion(model.get(), named.map(RequestedVersion::number).orElse(1));
        if (kept.equals(Optional.of(version))) {
            return;
        }
        kept = Optional.of(version);
        boolean isNew = swarm.isNews(named);
        Optional<ServiceId> service = engines.map(ServiceSpec::id);
        Duration delay = isNew ? Duration.ZERO : OLD_VERSION_DELAY;
        node.thread().later(delay, () -> fetch(version, isNew, service));
    }

    /**
     * Fetches a version, unless another one is wanted by now.
     *
     * @param version version
     * @param isNew whether it was named while this daemon ran
     * @param service service whose agents hold it otherwise
     */
    private void fetch(WeightVersion version, boolean isNew, Optional<ServiceId> service) {
        if (kept.equals(Optional.of(version))) {
            origin.know(version);
            swarm.want(version, isNew, service);
        }
    }

    /**
     * Returns the service that has engines.
     *
     * @param desired desired state
     * @return first such service by name, empty if there is none
     */
    private static Optional<ServiceSpec> engines(DesiredState desired) {
        return desired.services().values().stream()
                .filter(s -> s.engine().isPresent())
                .min((a, b) -> a.id().compareTo(b.id()));
    }

    /** Stager of a host without an engine. Thread-safe. */
    private static final class NoEngine implements Stager {

        @Override
        public void reset() {
            // Nothing is staged here.
        }

        @Override
        public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
            return true;
        }
    }
}
