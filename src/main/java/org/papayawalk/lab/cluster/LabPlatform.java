package org.papayawalk.lab.cluster;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.ApplyResult;
import org.papayawalk.adapter.ConfigClient;
import org.papayawalk.adapter.HttpCaller;
import org.papayawalk.adapter.HttpEndpoint;
import org.papayawalk.adapter.HttpHostList;
import org.papayawalk.adapter.HttpObjectStore;
import org.papayawalk.adapter.HttpOrigin;
import org.papayawalk.adapter.HttpTableService;
import org.papayawalk.adapter.OnceTables;
import org.papayawalk.core.Addresses;
import org.papayawalk.core.Fault;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.ObjectStore;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.port.TableService;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.NodeSettings;
import org.papayawalk.daemon.standalone.PlatformServices;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.lab.standin.FaultSettings;
import org.papayawalk.lab.standin.HostListStandIn;
import org.papayawalk.lab.standin.OriginStandIn;
import org.papayawalk.lab.standin.TableStandIn;
import org.papayawalk.wire.WireRuntime;

/** Stand-ins of the platform and what all daemons of one process share. Thread-safe. */
public final class LabPlatform implements AutoCloseable {
    /** Silence after which the platform counts as away. */
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

    /** Silence after which the origin counts as away. */
    private static final Duration ORIGIN_TIMEOUT = Duration.ofSeconds(120);

    /** Reads of the accepted configuration that are tried again before a change. */
    private static final int MAX_READ_RETRIES = 5;

    /** Clock. */
    private final InstantSource clock = new MonotonicClock();

    /** Threads for calls that block. */
    private final ExecutorService blockingExecutor = Executors.newCachedThreadPool();

    /** Event loops. */
    private final WireRuntime runtime = new WireRuntime(4);

    /** Sends requests to the platform. */
    private final HttpCaller platformHttp = new HttpCaller(PLATFORM_TIMEOUT, 256, true);

    /** Sends requests to the origin. */
    private final HttpCaller originHttp = new HttpCaller(ORIGIN_TIMEOUT, 1024, true);

    /** Servers. */
    private final List<HttpEndpoint> servers = new ArrayList<>();

    /** Seed of the faults' chance. */
    private final long seed;

    /** Host list. */
    private final HostListStandIn hostList;

    /** Origin. */
    private final OriginStandIn origin;

    /** Table service. */
    private final TableStandIn tableStandIn = new TableStandIn();

    /** Faults of the table service. */
    private final FaultInjector tableFaults;

    /** Faults of the host list. */
    private final FaultInjector hostListFaults;

    /** Faults of the origin. */
    private final FaultInjector originFaults;

    /** Address of the table service. */
    private final String tableAddress;

    /** Address of the host list. */
    private final String hostListAddress;

    /** Address of the origin. */
    private final String originAddress;

    /**
     * Starts the stand-ins.
     *
     * @param hosts host list
     * @param originBytesPerSecond rate of the origin's link
     * @param seed seed of the faults' chance
     * @throws IOException if an address cannot be used
     */
    public LabPlatform(List<HostRecord> hosts, double originBytesPerSecond, long seed)
            throws IOException {
        this.seed = seed;
        hostList = new HostListStandIn(hosts, Duration.ZERO, clock);
        origin = new OriginStandIn(originBytesPerSecond, clock);
        tableFaults = new FaultInjector(tableStandIn, seed);
        hostListFaults = new FaultInjector(hostList, seed);
        originFaults = new FaultInjector(origin, seed);
        origin.attachFaults(originFaults);
        tableAddress = startServer(tableFaults);
        hostListAddress = startServer(hostListFaults);
        originAddress = startServer(originFaults);
    }

    /**
     * Starts a server.
     *
     * @param handler takes every request
     * @return its address
     * @throws IOException if the address cannot be used
     */
    private String startServer(HttpRequestHandler handler) throws IOException {
        InetSocketAddress address = LoopbackAddresses.next();
        servers.add(new HttpEndpoint(address, handler));
        return LoopbackAddresses.format(address);
    }

    /**
     * Returns the clock.
     *
     * @return clock of all daemons
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the seed.
     *
     * @return seed of the faults' chance
     */
    public long seed() {
        return seed;
    }

    /**
     * Returns the host list.
     *
     * @return stand-in
     */
    public HostListStandIn hostList() {
        return hostList;
    }

    /**
     * Returns the origin.
     *
     * @return stand-in
     */
    public OriginStandIn origin() {
        return origin;
    }

    /**
     * Returns the faults of the table service.
     *
     * @return switch
     */
    public FaultInjector tableFaults() {
        return tableFaults;
    }

    /**
     * Returns the faults of the origin.
     *
     * @return switch
     */
    public FaultInjector originFaults() {
        return originFaults;
    }

    /**
     * Takes table service and host list away, or brings them back.
     *
     * @param away whether they are away
     */
    public void setUnavailable(boolean away) {
        FaultSettings faults = new FaultSettings(away, false, 0, 0, 0);
        tableFaults.setFaults(faults);
        hostListFaults.setFaults(faults);
    }

    /**
     * Returns the table service.
     *
     * @return stand-in
     */
    public TableStandIn tableStandIn() {
        return tableStandIn;
    }

    /**
     * Returns the rows of non-idempotent calls written.
     *
     * @return number since the start
     */
    public long idempotencyRowsWritten() {
        return tableStandIn.rowsWritten(OnceTables.TABLE);
    }

    /**
     * Returns a client of the table service.
     *
     * @return client
     */
    public TableService tableClient() {
        return new HttpTableService(platformHttp, tableAddress);
    }

    /**
     * Returns a client of the object store.
     *
     * @return client
     */
    public ObjectStore objectStoreClient() {
        return new HttpObjectStore(platformHttp, tableAddress);
    }

    /**
     * Returns a client of the origin.
     *
     * @return client
     */
    public Origin originClient() {
        return new HttpOrigin(originHttp, originAddress);
    }

    /**
     * Creates a node that listens.
     *
     * @param record line of the host list
     * @return node, not started
     * @throws IOException if the address cannot be used
     */
    public Node createNode(HostRecord record) throws IOException {
        PlatformServices platform =
                new PlatformServices(
                        tableClient(), new HttpHostList(platformHttp, hostListAddress));
        NodeSettings settings =
                new NodeSettings(record, Addresses.parse(record.address()), List.of());
        return new Node(settings, platform, runtime, clock, blockingExecutor);
    }

    /**
     * Has rows accepted.
     *
     * @param rows rows of the next sheet
     * @return how it ended
     */
    public ApplyResult applyConfig(List<FleetSpec> rows) {
        ConfigClient client = new ConfigClient(tableClient());
        Either<Fault, ConfigClient.Accepted> read = client.read();
        for (int i = 0; i < MAX_READ_RETRIES && read.isLeft(); i++) {
            read = client.read();
        }
        if (read.isLeft()) {
            return ApplyResult.REFUSED;
        }
        ConfigClient.Accepted base = read.get();
        return client.write(
                base,
                base.configuration().next(UUID.randomUUID().toString(), rows),
                "lab",
                clock.instant());
    }

    @Override
    public void close() {
        servers.forEach(HttpEndpoint::close);
        runtime.close();
        platformHttp.close();
        originHttp.close();
        blockingExecutor.shutdownNow();
    }
}
