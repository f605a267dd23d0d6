package org.papayawalk.lab.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.HttpEndpoint;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.Origin;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.agent.AgentRole;
import org.papayawalk.daemon.standalone.agent.AgentSettings;
import org.papayawalk.daemon.standalone.agent.ChunkTransport;
import org.papayawalk.daemon.standalone.agent.WeightSettings;
import org.papayawalk.daemon.standalone.agent.WireChunkTransport;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.wire.proto.Heartbeat;

/** An agent with its upstream's stand-in, which outlives the agent. Thread-safe. */
public final class LabAgent implements AutoCloseable {
    /** Platform. */
    private final LabPlatform platform;

    /** Line of the host list. */
    private final HostRecord record;

    /** Upstream. */
    private final HttpRequestHandler upstream;

    /** Faults of the upstream. */
    private final FaultInjector upstreamFaults;

    /** Server of the upstream. */
    private final HttpEndpoint upstreamServer;

    /** Address of the upstream. */
    private final String upstreamAddress;

    /** Settings of the distribution of weights. */
    private final WeightSettings weightSettings;

    /** Origin as seen by this host. */
    private final Origin origin;

    /** Puts links and faults before the transport of chunks. */
    private final Function<ChunkTransport, ChunkTransport> transportDecorator;

    /** Common part of the agent; replaced at a restart. */
    private volatile Node node;

    /** Role of the agent; replaced at a restart. */
    private volatile AgentRole role;

    /** Whether the agent runs. */
    private volatile boolean running;

    /**
     * Starts an upstream and its agent.
     *
     * @param platform platform
     * @param record line of the host list
     * @param upstream upstream
     * @param weights settings of the distribution of weights
     * @param origin origin as seen by this host
     * @param links puts links and faults before the transport of chunks
     * @throws IOException if an address cannot be used
     */
    public LabAgent(
            LabPlatform platform,
            HostRecord record,
            HttpRequestHandler upstream,
            WeightSettings weights,
            Origin origin,
            Function<ChunkTransport, ChunkTransport> links)
            throws IOException {
        this.platform = platform;
        this.record = record;
        this.upstream = upstream;
        this.upstreamFaults = new FaultInjector(upstream, platform.seed());
        this.weightSettings = weights;
        this.origin = origin;
        this.transportDecorator = links;
        InetSocketAddress address = LoopbackAddresses.next();
        upstreamAddress = LoopbackAddresses.format(address);
        upstreamServer = new HttpEndpoint(address, upstreamFaults);
        start();
    }

    /**
     * Starts the agent, empty.
     *
     * @throws IOException if the address cannot be used
     */
    public void start() throws IOException {
        Node newNode = platform.createNode(record);
        AgentSettings settings =
                new AgentSettings(new FleetId(record.fleet()), upstreamAddress, weightSettings);
        AgentRole newRole =
                new AgentRole(
                        newNode,
                        settings,
                        origin,
                        platform.objectStoreClient(),
                        transportDecorator.apply(WireChunkTransport.of(newNode)));
        node = newNode;
        role = newRole;
        running = true;
        newNode.start(newRole);
    }

    /** Kills the agent at once; its upstream stays. */
    public void kill() {
        running = false;
        node.close();
        role.close();
    }

    /** Tells the agent to take no new work. */
    public void drain() {
        role.drain("planned stop");
    }

    /**
     * Returns the line of the host list.
     *
     * @return line
     */
    public HostRecord record() {
        return record;
    }

    /**
     * Returns the upstream.
     *
     * @return stand-in
     */
    public HttpRequestHandler upstream() {
        return upstream;
    }

    /**
     * Returns the address of the upstream.
     *
     * @return IP number and port
     */
    public String upstreamAddress() {
        return upstreamAddress;
    }

    /**
     * Returns the faults of the upstream.
     *
     * @return switch
     */
    public FaultInjector upstreamFaults() {
        return upstreamFaults;
    }

    /**
     * Returns the version that the upstream serves.
     *
     * @return digest, none for a service
     */
    public Digest servingVersion() {
        return upstream instanceof EngineStandIn engine ? engine.serving() : Digest.NONE;
    }

    /**
     * Tells whether the agent runs.
     *
     * @return false after it was killed
     */
    public boolean running() {
        return running;
    }

    /**
     * Returns what the agent says of itself.
     *
     * @return heartbeat
     */
    public Heartbeat heartbeat() {
        return node.buildHeartbeat();
    }

    /**
     * Returns the remarks of the agent.
     *
     * @return texts for people
     */
    public List<String> notes() {
        return role.statusNotes();
    }

    /**
     * Returns the requests in progress at the agent.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return role.inFlight();
    }

    /**
     * Returns the bytes of control messages sent.
     *
     * @return bytes since the start
     */
    public long controlBytesSent() {
        return node.controlBytesSent();
    }

    @Override
    public void close() {
        if (running) {
            kill();
        }
        upstreamServer.close();
    }
}
