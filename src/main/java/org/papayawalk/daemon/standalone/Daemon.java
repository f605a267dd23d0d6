package org.papayawalk.daemon.standalone;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.adapter.standalone.HttpHostList;
import org.papayawalk.adapter.standalone.HttpObjectStore;
import org.papayawalk.adapter.standalone.HttpOrigin;
import org.papayawalk.adapter.standalone.HttpTableService;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.papayawalk.core.weight.SwarmPlannerFactory;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.daemon.standalone.agent.AgentRole;
import org.papayawalk.daemon.standalone.agent.AgentSettings;
import org.papayawalk.daemon.standalone.entry.EntryMetrics;
import org.papayawalk.daemon.standalone.entry.EntryRole;
import org.papayawalk.daemon.standalone.entry.EntrySettings;
import org.papayawalk.daemon.swarm.WeightSettings;
import org.papayawalk.daemon.swarm.WireChunkTransport;
import org.papayawalk.log.Event;
import org.papayawalk.wire.EventLoops;

/**
 * One running stand-alone daemon, entry or agent: creates its parts from the settings and stops
 * them in order. Thread-safe.
 */
final class Daemon {
    // Longest wait for the next byte of a reply.
    private static final Duration PLATFORM_READ_TIMEOUT = Duration.ofSeconds(2);

    // Longest wait for the next byte of a reply. Long, as the origin's link limits its replies.
    private static final Duration ORIGIN_READ_TIMEOUT = Duration.ofSeconds(60);

    // For each service of the platform.
    private static final int MAX_PLATFORM_CONNECTIONS = 64;

    private static final int MAX_ORIGIN_CONNECTIONS = 8;

    // In-flight chunk requests of a download.
    private static final int MAX_CHUNK_REQUESTS = 8;

    // In-flight chunk requests of a download to the origin.
    private static final int MAX_ORIGIN_REQUESTS = 2;

    // Interval at which a stopping daemon checks whether requests are still in progress.
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;

    // Time that an agent keeps running after its drain notice, even if it is idle.
    private static final Duration MIN_AGENT_DRAIN_TIME = Duration.ofSeconds(2);

    private final DaemonSettings settings;

    private final ExecutorService blockingExecutor = Executors.newCachedThreadPool();

    private final EventLoops runtime;

    private final Node node;

    private final RoleHandler role;

    private final BlockingHttpServer admin;

    private final IntSupplier requestsInProgress;

    /**
     * Creates and starts a daemon.
     *
     * @param settings validated settings
     * @throws IOException if an address to listen on cannot be used
     */
    Daemon(DaemonSettings settings) throws IOException {
        this.settings = settings;
        BlockingHttpClient platformHttp =
                new BlockingHttpClient(PLATFORM_READ_TIMEOUT, MAX_PLATFORM_CONNECTIONS);
        PrometheusRegistry registry = new PrometheusRegistry();
        runtime = new EventLoops(Math.max(2, Runtime.getRuntime().availableProcessors() / 2));
        node =
                new Node(
                        new NodeSettings(
                                hostRecord(settings),
                                Addresses.parse(settings.listen),
                                settings.seedPeers),
                        new PlatformServices(
                                new HttpTableService(platformHttp, settings.tableAddress),
                                new HttpHostList(platformHttp, settings.hostListAddress)),
                        runtime,
                        new MonotonicClock(),
                        blockingExecutor);
        NodeMetrics.register(node, registry);
        HttpObjectStore objects = new HttpObjectStore(platformHttp, settings.objectAddress);
        BooleanSupplier ready;
        if (DaemonSettings.ENTRY.equals(settings.role)) {
            EntrySettings entrySettings =
                    new EntrySettings(Addresses.parse(settings.httpListen), settings.maxBodyBytes);
            EntryRole entry =
                    new EntryRole(node, entrySettings, objects, new EntryMetrics(registry));
            role = entry;
            requestsInProgress = entry::inProgress;
            ready = entry::ready;
        } else {
            AgentRole agent = createAgent(objects);
            role = agent;
            requestsInProgress = agent::inFlight;
            ready =
                    () ->
                            node.buildHeartbeat().getUpstreamHealthy()
                                    && !node.buildHeartbeat().getDraining();
        }
        admin =
                new BlockingHttpServer(
                        Addresses.parse(settings.adminListen), new AdminEndpoint(ready, registry));
        node.start(role);
    }

    /**
     * Stops the daemon gracefully: announces the drain to neighbors, waits for requests in progress
     * up to the drain limit, then closes all parts. Blocks until the process may exit.
     */
    void stop() {
        Event.named("stopping").with("inProgress", requestsInProgress.getAsInt()).info();
        Instant start = node.clock().instant();
        role.drain("planned stop");
        node.sendHeartbeatsNow();
        Duration limit = Duration.ofSeconds(settings.drainLimitSeconds);
        if (role instanceof EntryRole entry) {
            sleep(settings.drainNoticeMillis);
            entry.finish(limit);
        }
        while (mustKeepDraining(start, limit)) {
            sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
        int interrupted = requestsInProgress.getAsInt();
        node.close();
        admin.close();
        runtime.close();
        blockingExecutor.shutdownNow();
        Event.named("stopped").with("interrupted", interrupted).info();
    }

    private boolean mustKeepDraining(Instant start, Duration limit) {
        Duration waited = Duration.between(start, node.clock().instant());
        if (waited.compareTo(limit) >= 0) {
            return false;
        }
        return requestsInProgress.getAsInt() > 0
                || (role instanceof AgentRole && waited.compareTo(MIN_AGENT_DRAIN_TIME) < 0);
    }

    private AgentRole createAgent(HttpObjectStore objects) {
        BlockingHttpClient originHttp =
                BlockingHttpClient.keepingConnections(ORIGIN_READ_TIMEOUT, MAX_ORIGIN_CONNECTIONS);
        SwarmPlannerSettings download =
                new SwarmPlannerSettings(
                        settings.distributionPolicy(),
                        new RegionId(settings.originRegion),
                        MAX_CHUNK_REQUESTS,
                        MAX_ORIGIN_REQUESTS);
        WeightSettings weights =
                new WeightSettings(
                        new SwarmPlannerFactory(download),
                        settings.uplinkBytesPerSecond,
                        settings.downlinkBytesPerSecond,
                        settings.chunkMemoryBytes);
        return new AgentRole(
                node,
                new AgentSettings(new FleetId(settings.fleet), settings.upstreamAddress, weights),
                new HttpOrigin(originHttp, settings.originAddress),
                objects,
                WireChunkTransport.of(node));
    }

    private static HostRecord hostRecord(DaemonSettings settings) {
        boolean entry = DaemonSettings.ENTRY.equals(settings.role);
        return new HostRecord(
                new HostId(settings.host),
                new DomainId(settings.domain),
                new RegionId(settings.region),
                entry ? HostRole.ENTRY : HostRole.AGENT,
                settings.fleet,
                settings.listen,
                HostState.LIVE);
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
