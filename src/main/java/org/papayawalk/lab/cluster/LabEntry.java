package org.papayawalk.lab.cluster;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.entry.EntryMetrics;
import org.papayawalk.daemon.standalone.entry.EntryRole;
import org.papayawalk.daemon.standalone.entry.EntrySettings;

/** An entry. Thread-safe. */
public final class LabEntry implements AutoCloseable {
    /** Largest body of a request in bytes. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    /** Platform. */
    private final LabPlatform platform;

    /** Line of the host list. */
    private final HostRecord record;

    /** Address for callers. */
    private final InetSocketAddress address = LoopbackAddresses.next();

    /** Common part; replaced at a restart. */
    private volatile Node node;

    /** Role; replaced at a restart. */
    private volatile EntryRole role;

    /**
     * Starts an entry.
     *
     * @param platform platform
     * @param record line of the host list
     * @throws IOException if an address cannot be used
     */
    public LabEntry(LabPlatform platform, HostRecord record) throws IOException {
        this.platform = platform;
        this.record = record;
        start();
    }

    /**
     * Starts the entry, empty.
     *
     * @throws IOException if an address cannot be used
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

    /** Kills the entry at once. */
    public void kill() {
        role.close();
        node.close();
    }

    /**
     * Returns the address for callers.
     *
     * @return IP number and port
     */
    public String address() {
        return LoopbackAddresses.format(address);
    }

    /**
     * Returns the common part.
     *
     * @return node
     */
    public Node node() {
        return node;
    }

    @Override
    public void close() {
        kill();
    }
}
