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
import org.papayawalk.daemon.standalone.agent.WeightSettings;
import org.papayawalk.daemon.standalone.agent.WireChunkTransport;
import org.papayawalk.daemon.standalone.entry.EntryMetrics;
import org.papayawalk.daemon.standalone.entry.EntryRole;
import org.papayawalk.daemon.standalone.entry.EntrySettings;
import org.papayawalk.log.Event;
import org.papayawalk.wire.EventLoops;

/** Wires one daemon from its settings and stops it in order. Thread-safe. */
final class Daemon {
    /** Longest silence of the platform. */
    private static final Duration PLATFORM_SILENCE = Duration.ofSeconds(2);

    /** Longest silence of the origin, which answers at the pace of its link. */
    private static final Duration ORIGIN_SILENCE = Duration.ofSeconds(60);

    /** Connections to each service of the platform. */
    private static final int PLATFORM_CONNECTIONS = 64;

    /** Connections to the origin. */
    private static final int ORIGIN_CONNECTIONS = 8;

    /** Chunks asked for at once. */
    private static final int MAX_CHUNK_REQUESTS = 8;

    /** Chunks asked from the origin at once. */
    private static final int MAX_ORIGIN_REQUESTS = 2;

    /** Time between looks whether requests in progress have ended. */
    private static final long DRAIN_LOOK_MILLIS = 50;

    /** Shortest time between the notice of leaving and the end. */
    private static final Duration AGENT_NOTICE = Duration.ofSeconds(2);

    /** Settings. */
    private final DaemonSettings settings;

    /** Threads for calls that block. */
    private final ExecutorService work = Executors.newCachedThreadPool();

    /** Event loops. */
    private final EventLoops runtime;

    /** Common part. */
    private final Node node;

    /** Role. */
    private final RoleHandler role;

    /** Administration. */
    private final BlockingHttpServer admin;

    /** Counts requests in progress. */
    private final IntSupplier inProgress;

    /**
     * Starts a daemon.
     *
     * @param settings checked settings
     * @throws IOException if an address to listen on cannot be used
     */
    Daemon(DaemonSettings settings) throws IOException {
        this.settings = settings;
        BlockingHttpClient platformHttp =
                new BlockingHttpClient(PLATFORM_SILENCE, PLATFORM_CONNECTIONS, true);
        PrometheusRegistry registry = new PrometheusRegistry();
        runtime = new EventLoops(Math.max(2, Runtime.getRuntime().availableProcessors() / 2));
        node =
                new Node(
                        new NodeSettings(
                                record(settings),
                                Addresses.parse(settings.listen),
                                settings.seedPeers),
                        new PlatformServices(
                                new HttpTableService(platformHttp, settings.tableAddress),
                                new HttpHostList(platformHttp, settings.hostListAddress)),
                        runtime,
                        new MonotonicClock(),
                        work);
        NodeMetrics.register(node, registry);
        HttpObjectStore objects = new HttpObjectStore(platformHttp, settings.objectAddress);
        BooleanSupplier ready;
        if (DaemonSettings.ENTRY.equals(settings.role)) {
            EntrySettings entrySettings =
                    new EntrySettings(Addresses.parse(settings.httpListen), settings.maxBodyBytes);
            EntryRole entry =
                    new EntryRole(node, entrySettings, objects, new EntryMetrics(registry));
            role = entry;
            inProgress = entry::inProgress;
            ready = entry::ready;
        } else {
            AgentRole agent = agent(objects);
            role = agent;
            inProgress = agent::inFlight;
            ready = () -> node.describe().getUpstreamHealthy() && !node.describe().getDraining();
        }
        admin =
                new BlockingHttpServer(
                        Addresses.parse(settings.adminListen), new AdminEndpoint(ready, registry));
        node.start(role);
    }

    /** Stops the daemon: announces it, lets requests in progress end, then closes. */
    void stop() {
        Event.named("stopping").with("inProgress", inProgress.getAsInt()).info();
        Instant start = node.clock().instant();
        role.drain("planned stop");
        node.announce();
        Duration limit = Duration.ofSeconds(settings.drainLimitSeconds);
        if (role instanceof EntryRole entry) {
            pause(settings.drainNoticeMillis);
            entry.finish(limit);
        }
        while (mustWait(start, limit)) {
            pause(DRAIN_LOOK_MILLIS);
        }
        int left = inProgress.getAsInt();
        node.close();
        admin.close();
        runtime.close();
        work.shutdownNow();
        Event.named("stopped").with("interrupted", left).info();
    }

    /**
     * Tells whether a planned stop has to go on waiting.
     *
     * @param start when the stop began
     * @param limit longest wait
     * @return true while requests are in progress, and for the time of the notice
     */
    private boolean mustWait(Instant start, Duration limit) {
        Duration waited = Duration.between(start, node.clock().instant());
        if (waited.compareTo(limit) >= 0) {
            return false;
        }
        return inProgress.getAsInt() > 0
                || (role instanceof AgentRole && waited.compareTo(AGENT_NOTICE) < 0);
    }

    /**
     * Wires an agent.
     *
     * @param objects object store
     * @return role
     */
    private AgentRole agent(HttpObjectStore objects) {
        BlockingHttpClient originHttp =
                new BlockingHttpClient(ORIGIN_SILENCE, ORIGIN_CONNECTIONS, true);
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

    /**
     * Builds the host's own line of the host list.
     *
     * @param settings checked settings
     * @return line
     */
    private static HostRecord record(DaemonSettings settings) {
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

    /**
     * Waits.
     *
     * @param millis time in milliseconds
     */
    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
