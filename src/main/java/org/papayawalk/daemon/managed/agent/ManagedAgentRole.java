package org.papayawalk.daemon.managed.agent;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.daemon.managed.ManagedMain;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.StatusEndpoint;
import org.papayawalk.daemon.managed.weight.ManagedOrigin;
import org.papayawalk.daemon.managed.weight.ManagedSwarm;
import org.papayawalk.daemon.standalone.agent.Swarm;
import org.papayawalk.log.Event;

/** Role of the process beside a model engine. Thread-safe. */
public final class ManagedAgentRole implements ManagedMain.Role {
    /** Threads for calls that block. */
    private static final int WORKERS = 3;

    /** Common part of the daemon. */
    private final ManagedNode node;

    /** Threads for calls that block. */
    private final ExecutorService work = Executors.newFixedThreadPool(WORKERS);

    /** Origin of the weights. */
    private final ManagedOrigin origin;

    /**
     * Creates the role.
     *
     * @param node common part of the daemon
     */
    public ManagedAgentRole(ManagedNode node) {
        this.node = node;
        this.origin = new ManagedOrigin(node.http(), node.state()::view);
    }

    @Override
    public void start() throws IOException {
        ManagedSettings settings = node.settings();
        String upstream =
                settings.upstreamAddress()
                        .orElseThrow(() -> new IOException("no upstream is given"));
        LocalEngine engine = new LocalEngine(node.http(), upstream);
        ManagedSwarm swarm = new ManagedSwarm(node, service(), origin, engine, work);
        node.runAsAgent(swarm.handler());
        TargetVersion wanted = new PlatformTargetVersion(node, service(), origin);
        VersionReconciler driver =
                new VersionReconciler(engine, swarm, work, node.thread(), node.clock(), wanted);
        node.state().listen(v -> driver.viewChanged());
        node.thread().run(driver::start);
        serveMetrics(swarm.swarm());
    }

    @Override
    public void stop() {
        Event.named("stopped").info();
    }

    /**
     * Returns the service of the engine beside this process.
     *
     * @return service, empty if none is given
     */
    private Optional<ServiceId> service() {
        return node.settings().upstreamService();
    }

    /**
     * Serves the metrics of the agent.
     *
     * @param swarm weights
     */
    private void serveMetrics(Swarm swarm) {
        PrometheusRegistry registry = new PrometheusRegistry();
        GaugeWithCallback.builder()
                .name("papayawalk_chunks_held")
                .help("Chunks of the wanted version that are verified and staged")
                .callback(c -> c.call(swarm.progress().heldChunks()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("papayawalk_chunks_total")
                .help("Chunks of the wanted version")
                .callback(c -> c.call(swarm.progress().totalChunks()))
                .register(registry);
        new StatusEndpoint(node.runtime().group(), () -> true, registry)
                .listenForMetrics(node.settings().ip());
    }
}
