package org.papayawalk.lab.burst;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.daemon.agent.AgentRole;
import org.papayawalk.daemon.node.Node;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.platform.HttpEndpoint;

/** An agent with its engine. Thread-safe. */
final class BurstHost implements AutoCloseable {
    /** Port of every address. */
    private static final int PORT = 7000;

    /** Number of the last address given. */
    private static final AtomicInteger LAST_ADDRESS = new AtomicInteger();

    /** Line of the host list. */
    private final HostRecord record;

    /** Engine. */
    private final EngineStandIn engine;

    /** Server of the engine. */
    private final HttpEndpoint engineServer;

    /** Common part of the agent. */
    private final Node node;

    /** Role of the agent. */
    private final AgentRole role;

    /** Whether the host was killed. */
    private volatile boolean killed;

    /**
     * Starts a host.
     *
     * @param record line of the host list
     * @param engine engine
     * @param engineServer server of the engine
     * @param node common part of the agent
     * @param role role of the agent
     */
    BurstHost(
            HostRecord record,
            EngineStandIn engine,
            HttpEndpoint engineServer,
            Node node,
            AgentRole role) {
        this.record = record;
        this.engine = engine;
        this.engineServer = engineServer;
        this.node = node;
        this.role = role;
        node.start(role);
    }

    /**
     * Returns an address that no other caller got. Addresses differ in their IP number from those
     * that outgoing connections use, so that none of these takes the port first.
     *
     * @return IP number and port
     */
    static InetSocketAddress freeAddress() {
        int n = LAST_ADDRESS.incrementAndGet();
        long process = ProcessHandle.current().pid();
        String ip = "127.%d.%d.%d".formatted(1 + process % 250, n / 250, 1 + n % 250);
        return new InetSocketAddress(ip, PORT);
    }

    /**
     * Writes an address.
     *
     * @param address address
     * @return IP number and port
     */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the line of the host list.
     *
     * @return line
     */
    HostRecord record() {
        return record;
    }

    /**
     * Returns the version that the engine serves.
     *
     * @return digest, or none
     */
    Digest serving() {
        return engine.serving();
    }

    /**
     * Tells whether the agent has the whole version.
     *
     * @param digest digest of the manifest
     * @return true if all its chunks are verified and with the engine
     */
    boolean holds(Digest digest) {
        if (engine.serving().equals(digest)) {
            return true;
        }
        var heartbeat = node.describe();
        return heartbeat.getWantedDigest().equals(digest.value())
                && heartbeat.getChunksTotal() > 0
                && heartbeat.getChunksHeld() == heartbeat.getChunksTotal();
    }

    /**
     * Returns the share of the wanted version that the agent has.
     *
     * @return 0 to 1
     */
    double share() {
        var heartbeat = node.describe();
        int total = heartbeat.getChunksTotal();
        return total == 0 ? 0 : (double) heartbeat.getChunksHeld() / total;
    }

    /**
     * Returns the bytes of control messages sent.
     *
     * @return bytes since the start
     */
    long controlBytes() {
        return node.controlBytesSent();
    }

    /**
     * Tells whether the host was killed.
     *
     * @return true if it was
     */
    boolean killed() {
        return killed;
    }

    /**
     * Returns the remarks of the agent.
     *
     * @return texts for people
     */
    List<String> notes() {
        return role.notes();
    }

    /** Kills the host at once. */
    void kill() {
        killed = true;
        close();
    }

    @Override
    public void close() {
        node.close();
        role.close();
        engineServer.close();
    }
}
