package org.papayawalk.lab.cluster;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.entry.EntryMetrics;
import org.papayawalk.daemon.standalone.entry.EntryRole;
import org.papayawalk.daemon.standalone.entry.EntrySettings;

/**
 * Entry that can be killed and restarted at the same address. Thread-safe; {@link #start} and
 * {@link #kill} must not run concurrently.
 */
public final class LabEntry implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final LabPlatform platform;
    private final HostRecord record;
    private final InetSocketAddress address = LoopbackAddresses.next();

    // Node and role are replaced at every start.
    private volatile Node node;

    private volatile EntryRole role;

    /**
     * Starts an entry.
     *
     * @param platform shared stand-ins, clock and threads
     * @param record entry in the host list
     * @throws IOException if a server cannot listen on its address
     */
    public LabEntry(LabPlatform platform, HostRecord record) throws IOException {
        this.platform = platform;
        this.record = record;
        start();
    }

    /**
     * Starts the entry without any state of an earlier run.
     *
     * @throws IOException if a server cannot listen on its address
     */
    public void start() throws IOException {
        node = platform.createNode(record);
        role =
                new EntryRole(
                        node,
                        new EntrySettings(address, MAX_BODY_BYTES),
                        platform.objectStoreClient(),
                        new EntryMetrics(new PrometheusRegistry()));
        node.start(role);
    }

    /** Stops the entry without a drain. */
    public void kill() {
        role.close();
        node.close();
    }

    /**
     * Returns the address for callers.
     *
     * @return IP address and port
     */
    public String address() {
        return LoopbackAddresses.format(address);
    }

    /**
     * Returns the node, which does membership and configuration.
     *
     * @return node of the last start
     */
    public Node node() {
        return node;
    }

    @Override
    public void close() {
        kill();
    }
}
