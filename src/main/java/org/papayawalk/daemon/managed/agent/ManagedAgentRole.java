package org.papayawalk.daemon.managed.agent;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.ManagedRole;
import org.papayawalk.daemon.managed.StatusEndpoint;
import org.papayawalk.daemon.managed.weight.ManagedOrigin;
import org.papayawalk.daemon.managed.weight.ManagedSwarm;
import org.papayawalk.daemon.swarm.Swarm;
import org.papayawalk.log.Event;

/**
 * Role of an agent on the managed platform: keeps the model engine beside this process at the
 * version that the operator wants. Thread-safe.
 */
public final class ManagedAgentRole implements ManagedRole {
    private static final int WORKERS = 3;

    private final ManagedNode node;

    // For calls that block.
    private final ExecutorService work = Executors.newFixedThreadPool(WORKERS);

    private final ManagedOrigin origin;

    /**
     * Creates a role that does not run yet.
     *
     * @param node services shared by the parts of the daemon
     */
    public ManagedAgentRole(ManagedNode node) {
        this.node = node;
        this.origin = new ManagedOrigin(node.http(), node.state()::snapshot);
    }

    @Override
    public void start() throws IOException {
        ManagedSettings settings = node.settings();
        String upstream =
                settings.upstreamAddress()
                        .orElseThrow(
                                () ->
                                        new IOException(
                                                "the settings give no address of the engine; an"
                                                        + " agent needs its IP address and port"));
        LocalEngine engine = new LocalEngine(node.http(), upstream, node.clock());
        GuardedStagingArea stagingArea = new GuardedStagingArea(engine);
        ManagedSwarm swarm = new ManagedSwarm(node, service(), origin, stagingArea, work);
        node.runAsAgent(swarm.handler());
        TargetVersion target = new PlatformTargetVersion(node, service(), origin);
        VersionReconciler reconciler =
                new VersionReconciler(
                        engine,
                        swarm,
                        work,
                        node.thread(),
                        node.clock(),
                        target,
                        new EngineAnnouncer(upstream, node::notifyEntries));
        node.state().addListener(v -> reconciler.snapshotChanged());
        node.thread().execute(reconciler::start);
        serveMetrics(swarm.swarm());
    }

    @Override
    public void stop() {
        Event.named("stopped").info();
    }

    private Optional<ServiceId> service() {
        return node.settings().upstreamService();
    }

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
        node.storeCalls().register(registry);
        new StatusEndpoint(node.runtime().group(), () -> true, registry)
                .listenForMetrics(node.settings().ip());
    }
}
