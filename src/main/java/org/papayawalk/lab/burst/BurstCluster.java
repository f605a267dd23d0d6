package org.papayawalk.lab.burst;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.port.Origin;
import org.papayawalk.daemon.agent.AgentRole;
import org.papayawalk.daemon.agent.AgentSettings;
import org.papayawalk.daemon.agent.WeightSettings;
import org.papayawalk.daemon.agent.WireChunkTransport;
import org.papayawalk.daemon.entry.EntryMetrics;
import org.papayawalk.daemon.entry.EntryRole;
import org.papayawalk.daemon.entry.EntrySettings;
import org.papayawalk.daemon.node.Node;
import org.papayawalk.daemon.node.NodePlatform;
import org.papayawalk.daemon.node.NodeSettings;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultSettings;
import org.papayawalk.lab.standin.FaultSwitch;
import org.papayawalk.lab.standin.HostListStandIn;
import org.papayawalk.lab.standin.OriginStandIn;
import org.papayawalk.lab.standin.PublishedVersion;
import org.papayawalk.lab.standin.TableStandIn;
import org.papayawalk.platform.ConfigClient;
import org.papayawalk.platform.HttpCaller;
import org.papayawalk.platform.HttpEndpoint;
import org.papayawalk.platform.HttpHostList;
import org.papayawalk.platform.HttpObjectStore;
import org.papayawalk.platform.HttpOrigin;
import org.papayawalk.platform.HttpTableService;
import org.papayawalk.wire.WireRuntime;

/** Stand-ins, agents and entries of a burst in one process. Thread-safe once it is started. */
final class BurstCluster implements AutoCloseable {
    /** Fleet of all hosts. */
    static final String FLEET = "helper";

    /** Silence after which the platform counts as away. */
    private static final Duration SILENCE = Duration.ofSeconds(2);

    /** Settings. */
    private final BurstSettings settings;

    /** Clock. */
    private final InstantSource clock = new MonotonicClock();

    /** Threads for calls that block. */
    private final ExecutorService work = Executors.newCachedThreadPool();

    /** Event loops. */
    private final WireRuntime runtime = new WireRuntime(4);

    /** Sends requests to the platform. */
    private final HttpCaller platformHttp = new HttpCaller(SILENCE, 256, true);

    /** Sends requests to the origin. */
    private final HttpCaller originHttp = new HttpCaller(Duration.ofSeconds(120), 1024, true);

    /** Origin. */
    private final OriginStandIn origin;

    /** Faults of table service and host list. */
    private final List<FaultSwitch> platformFaults = new ArrayList<>();

    /** Servers of the platform. */
    private final List<HttpEndpoint> servers = new ArrayList<>();

    /** Hosts. */
    private final List<BurstHost> hosts = new ArrayList<>();

    /** Entries. */
    private final List<Node> entryNodes = new ArrayList<>();

    /** Roles of the entries. */
    private final List<EntryRole> entries = new ArrayList<>();

    /** Addresses of the entries. */
    private final List<String> entryAddresses = new ArrayList<>();

    /** Links between regions. */
    private final ThinLinks links;

    /** Chunks that arrived corrupted. */
    private final AtomicLong corrupted = new AtomicLong();

    /** Address of the table service. */
    private final String tableAddress;

    /** Address of the host list. */
    private final String listAddress;

    /** Address of the origin. */
    private final String originAddress;

    /**
     * Starts everything.
     *
     * @param settings settings
     * @throws IOException if an address cannot be used
     */
    BurstCluster(BurstSettings settings) throws IOException {
        this.settings = settings;
        this.origin = new OriginStandIn(settings.originRate(), clock);
        this.links = new ThinLinks(settings.originRate());
        List<HostRecord> records = BurstPlan.records(settings);
        Map<HostId, RegionId> regions = new HashMap<>();
        records.forEach(r -> regions.put(r.host(), r.region()));
        tableAddress = listen(new TableStandIn(), true);
        listAddress = listen(new HostListStandIn(records, Duration.ZERO, clock), true);
        originAddress = listen(origin, false);
        for (HostRecord r : records) {
            if (r.role() == HostRole.AGENT) {
                hosts.add(agent(r, regions));
            } else {
                entry(r);
            }
        }
    }

    /**
     * Returns the hosts.
     *
     * @return hosts, killed ones among them
     */
    List<BurstHost> hosts() {
        return hosts;
    }

    /**
     * Returns the addresses of the entries.
     *
     * @return IP numbers and ports
     */
    List<String> entryAddresses() {
        return entryAddresses;
    }

    /**
     * Returns the origin.
     *
     * @return origin
     */
    OriginStandIn origin() {
        return origin;
    }

    /**
     * Returns the links between regions.
     *
     * @return links
     */
    ThinLinks links() {
        return links;
    }

    /**
     * Returns the number of chunks that arrived corrupted.
     *
     * @return 0 or more
     */
    long corrupted() {
        return corrupted.get();
    }

    /**
     * Takes table service and host list away, or brings them back.
     *
     * @param away whether they are away
     */
    void platformAway(boolean away) {
        FaultSettings faults = new FaultSettings(away, false, 0, 0, 0);
        platformFaults.forEach(f -> f.set(faults));
    }

    /**
     * Has a version accepted.
     *
     * @param version version
     */
    void apply(PublishedVersion version) {
        FleetSpec row =
                new FleetSpec(
                        new FleetId(FLEET),
                        UpstreamKind.MODEL,
                        "ube-helper",
                        "",
                        version.manifest().version(),
                        version.digest(),
                        Map.of(),
                        64,
                        256,
                        settings.maxUnavailable(),
                        false,
                        List.of());
        ConfigClient client = new ConfigClient(new HttpTableService(platformHttp, tableAddress));
        ConfigClient.Accepted base = client.read().get();
        client.write(
                base,
                base.configuration().next(UUID.randomUUID().toString(), List.of(row)),
                "lab",
                clock.instant());
    }

    /**
     * Counts the hosts that serve a version.
     *
     * @param digest digest of the manifest
     * @return hosts that were not killed and serve it
     */
    long serving(Digest digest) {
        return hosts.stream().filter(h -> !h.killed() && h.serving().equals(digest)).count();
    }

    /**
     * Counts the hosts that hold a version.
     *
     * @param digest digest of the manifest
     * @return hosts that were not killed and hold it whole
     */
    long holding(Digest digest) {
        return hosts.stream().filter(h -> !h.killed() && h.holds(digest)).count();
    }

    /**
     * Returns the mean share of the wanted version that the hosts have.
     *
     * @return 0 to 1
     */
    double meanShare() {
        return hosts.stream()
                .filter(h -> !h.killed())
                .mapToDouble(BurstHost::share)
                .average()
                .orElse(0);
    }

    /**
     * Returns the number of hosts that were not killed.
     *
     * @return 0 or more
     */
    long alive() {
        return hosts.stream().filter(h -> !h.killed()).count();
    }

    @Override
    public void close() {
        entries.forEach(EntryRole::close);
        entryNodes.forEach(Node::close);
        hosts.stream().filter(h -> !h.killed()).forEach(BurstHost::close);
        servers.forEach(HttpEndpoint::close);
        runtime.close();
        platformHttp.close();
        originHttp.close();
        work.shutdownNow();
    }

    /**
     * Starts a stand-in.
     *
     * @param standIn stand-in
     * @param platform whether it goes away with the platform
     * @return its address
     * @throws IOException if the address cannot be used
     */
    private String listen(HttpRequestHandler standIn, boolean platform) throws IOException {
        FaultSwitch faults = new FaultSwitch(standIn, settings.seed());
        if (platform) {
            platformFaults.add(faults);
        }
        InetSocketAddress address = BurstHost.freeAddress();
        servers.add(new HttpEndpoint(address, faults));
        return BurstHost.text(address);
    }

    /**
     * Creates a node.
     *
     * @param record line of the host list
     * @return node that listens
     * @throws IOException if the address cannot be used
     */
    private Node node(HostRecord record) throws IOException {
        NodePlatform platform =
                new NodePlatform(
                        new HttpTableService(platformHttp, tableAddress),
                        new HttpHostList(platformHttp, listAddress));
        NodeSettings nodeSettings =
                new NodeSettings(record, Addresses.parse(record.address()), List.of());
        return new Node(nodeSettings, platform, runtime, clock, work);
    }

    /**
     * Starts an agent with its engine.
     *
     * @param record line of the host list
     * @param regions regions by host
     * @return host
     * @throws IOException if an address cannot be used
     */
    private BurstHost agent(HostRecord record, Map<HostId, RegionId> regions) throws IOException {
        EngineStandIn engine = new EngineStandIn(new EngineSettings(20, 2, 256, false));
        InetSocketAddress engineAddress = BurstHost.freeAddress();
        HttpEndpoint engineServer = new HttpEndpoint(engineAddress, engine);
        Node node = node(record);
        WeightSettings weights =
                new WeightSettings(
                        BurstPlan.planners(settings),
                        settings.hostRate(),
                        settings.hostRate(),
                        2 * settings.sizeBytes());
        Origin origin =
                new RegionalOrigin(originClient(), record.region(), BurstPlan.homeRegion(), links);
        AgentRole role =
                new AgentRole(
                        node,
                        new AgentSettings(
                                new FleetId(FLEET), BurstHost.text(engineAddress), weights),
                        origin,
                        new HttpObjectStore(platformHttp, tableAddress),
                        new BurstTransport(
                                new WireChunkTransport(node),
                                record.host(),
                                regions,
                                links,
                                settings,
                                clock,
                                corrupted));
        return new BurstHost(record, engine, engineServer, node, role);
    }

    /**
     * Starts an entry.
     *
     * @param record line of the host list
     * @throws IOException if an address cannot be used
     */
    private void entry(HostRecord record) throws IOException {
        Node node = node(record);
        InetSocketAddress address = BurstHost.freeAddress();
        EntryRole role =
                new EntryRole(
                        node,
                        new EntrySettings(address, 1 << 20),
                        new HttpObjectStore(platformHttp, tableAddress),
                        new EntryMetrics(new PrometheusRegistry()));
        node.start(role);
        entryNodes.add(node);
        entries.add(role);
        entryAddresses.add(BurstHost.text(address));
    }

    /**
     * Creates a client of the origin.
     *
     * @return client
     */
    private Origin originClient() {
        return new HttpOrigin(originHttp, originAddress);
    }
}
