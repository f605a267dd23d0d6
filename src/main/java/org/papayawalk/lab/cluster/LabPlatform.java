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
import org.papayawalk.adapter.standalone.ApplyResult;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.adapter.standalone.ConfigClient;
import org.papayawalk.adapter.standalone.HttpHostList;
import org.papayawalk.adapter.standalone.HttpObjectStore;
import org.papayawalk.adapter.standalone.HttpOrigin;
import org.papayawalk.adapter.standalone.HttpTableService;
import org.papayawalk.adapter.standalone.IdempotencyTableSchema;
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
import org.papayawalk.wire.EventLoops;

/**
 * Stand-ins of the platform services, with the clock, threads and clients that all daemons of one
 * process share. Thread-safe.
 */
public final class LabPlatform implements AutoCloseable {
    // Longest waits for the next byte of a response.
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ORIGIN_TIMEOUT = Duration.ofSeconds(120);

    // Retries of the read of the accepted configuration before a change.
    private static final int MAX_READ_RETRIES = 5;

    private final InstantSource clock = new MonotonicClock();
    private final ExecutorService blockingExecutor = Executors.newCachedThreadPool();
    private final EventLoops runtime = new EventLoops(4);
    private final BlockingHttpClient platformHttp = new BlockingHttpClient(PLATFORM_TIMEOUT, 256);
    private final BlockingHttpClient originHttp =
            BlockingHttpClient.keepingConnections(ORIGIN_TIMEOUT, 1024);
    private final List<BlockingHttpServer> servers = new ArrayList<>();
    private final long seed;
    private final HostListStandIn hostList;
    private final OriginStandIn origin;
    private final TableStandIn tableStandIn = new TableStandIn();
    private final FaultInjector tableFaults;
    private final FaultInjector hostListFaults;
    private final FaultInjector originFaults;
    private final String tableAddress;
    private final String hostListAddress;
    private final String originAddress;

    /**
     * Starts the stand-ins.
     *
     * @param hosts first host list
     * @param originBytesPerSecond rate of the link of the origin
     * @param seed seed of the injected faults
     * @throws IOException if a server cannot listen on its address
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

    private String startServer(HttpRequestHandler handler) throws IOException {
        InetSocketAddress address = LoopbackAddresses.next();
        servers.add(new BlockingHttpServer(address, handler));
        return LoopbackAddresses.format(address);
    }

    /**
     * Returns the clock of all daemons and stand-ins.
     *
     * @return monotonic clock
     */
    public InstantSource clock() {
        return clock;
    }

    /**
     * Returns the seed of the injected faults.
     *
     * @return seed
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
     * Returns the fault injector of the table service and the object store.
     *
     * @return injector
     */
    public FaultInjector tableFaults() {
        return tableFaults;
    }

    /**
     * Returns the fault injector of the origin.
     *
     * @return injector
     */
    public FaultInjector originFaults() {
        return originFaults;
    }

    /**
     * Makes the table service and the host list unreachable, or reachable again. Ends all other
     * faults of the two.
     *
     * @param unavailable whether they are unreachable
     */
    public void setUnavailable(boolean unavailable) {
        FaultSettings faults = new FaultSettings(unavailable, false, 0, 0, 0);
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
     * Returns the number of rows written for non-idempotent calls.
     *
     * @return 0 or more, since the creation of the platform
     */
    public long idempotencyRowsWritten() {
        return tableStandIn.rowsWritten(IdempotencyTableSchema.TABLE);
    }

    /**
     * Returns a client of the table service.
     *
     * @return new client, subject to the faults of the service
     */
    public TableService tableClient() {
        return new HttpTableService(platformHttp, tableAddress);
    }

    /**
     * Returns a client of the object store.
     *
     * @return new client, subject to the faults of the table service
     */
    public ObjectStore objectStoreClient() {
        return new HttpObjectStore(platformHttp, tableAddress);
    }

    /**
     * Returns a client of the origin.
     *
     * @return new client, subject to the faults of the origin
     */
    public Origin originClient() {
        return new HttpOrigin(originHttp, originAddress);
    }

    /**
     * Creates the node of a daemon.
     *
     * @param record entry of the daemon in the host list
     * @return node that listens but is not started
     * @throws IOException if the node cannot listen on its address
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
     * Applies a change of the configuration. Retries the read of the accepted configuration up to
     * five times.
     *
     * @param rows rows of the next sheet
     * @return result of the change; {@code REFUSED} also if the configuration cannot be read
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
        servers.forEach(BlockingHttpServer::close);
        runtime.close();
        platformHttp.close();
        originHttp.close();
        blockingExecutor.shutdownNow();
    }
}
