package org.papayawalk.lab.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.papayawalk.adapter.standalone.BlockingHttpServer;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.port.Origin;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.agent.AgentRole;
import org.papayawalk.daemon.standalone.agent.AgentSettings;
import org.papayawalk.daemon.swarm.ChunkTransport;
import org.papayawalk.daemon.swarm.WeightSettings;
import org.papayawalk.daemon.swarm.WireChunkTransport;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.FaultInjector;
import org.papayawalk.wire.proto.Heartbeat;

/**
 * Agent and the stand-in of its upstream. The stand-in stays up while the agent is restarted.
 * Thread-safe; {@link #start} and {@link #kill} must not run concurrently.
 */
public final class LabAgent implements AutoCloseable {
    private final LabPlatform platform;
    private final HostRecord record;
    private final HttpRequestHandler upstream;
    private final FaultInjector upstreamFaults;
    private final BlockingHttpServer upstreamServer;
    private final String upstreamAddress;
    private final WeightSettings weightSettings;
    private final Origin origin;

    // Adds simulated links and faults to the transport of chunks.
    private final Function<ChunkTransport, ChunkTransport> transportDecorator;

    // Node and role are replaced at every start.
    private volatile Node node;

    private volatile AgentRole role;
    private volatile boolean running;

    /**
     * Starts an upstream and its agent.
     *
     * @param platform shared stand-ins, clock and threads
     * @param record entry of the agent in the host list
     * @param upstream stand-in that handles the requests to the upstream
     * @param weightSettings settings of the weight distribution
     * @param origin client of the origin for this host
     * @param transportDecorator adds simulated links and faults to the transport of chunks
     * @throws IOException if a server cannot listen on its address
     */
    public LabAgent(
            LabPlatform platform,
            HostRecord record,
            HttpRequestHandler upstream,
            WeightSettings weightSettings,
            Origin origin,
            Function<ChunkTransport, ChunkTransport> transportDecorator)
            throws IOException {
        this.platform = platform;
        this.record = record;
        this.upstream = upstream;
        this.upstreamFaults = new FaultInjector(upstream, platform.seed());
        this.weightSettings = weightSettings;
        this.origin = origin;
        this.transportDecorator = transportDecorator;
        InetSocketAddress address = LoopbackAddresses.next();
        upstreamAddress = LoopbackAddresses.format(address);
        upstreamServer = new BlockingHttpServer(address, upstreamFaults);
        start();
    }

    /**
     * Starts the agent without any state of an earlier run.
     *
     * @throws IOException if the agent cannot listen on its address
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

    /** Stops the agent without a drain. The upstream stays up. */
    public void kill() {
        running = false;
        node.close();
        role.close();
    }

    /** Starts a drain: the agent finishes its requests and accepts no new ones. */
    public void drain() {
        role.drain("planned stop");
    }

    /**
     * Returns the entry of the agent in the host list.
     *
     * @return host record
     */
    public HostRecord record() {
        return record;
    }

    /**
     * Returns the upstream.
     *
     * @return stand-in, without the fault injector before it
     */
    public HttpRequestHandler upstream() {
        return upstream;
    }

    /**
     * Returns the address of the upstream.
     *
     * @return IP address and port
     */
    public String upstreamAddress() {
        return upstreamAddress;
    }

    /**
     * Returns the fault injector of the upstream.
     *
     * @return injector
     */
    public FaultInjector upstreamFaults() {
        return upstreamFaults;
    }

    /**
     * Returns the version that the upstream serves.
     *
     * @return digest, {@link Digest#NONE} for a service or if no version is served
     */
    public Digest servingVersion() {
        return upstream instanceof EngineStandIn engine ? engine.serving() : Digest.NONE;
    }

    /**
     * Returns whether the agent runs.
     *
     * @return false between a kill and the next start
     */
    public boolean running() {
        return running;
    }

    /**
     * Returns the present state of the agent as it reports it.
     *
     * @return heartbeat
     */
    public Heartbeat heartbeat() {
        return node.buildHeartbeat();
    }

    /**
     * Returns notes of the agent for operators.
     *
     * @return texts, empty if there is nothing to report
     */
    public List<String> notes() {
        return role.statusNotes();
    }

    /**
     * Returns the number of in-flight requests at the agent.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return role.inFlight();
    }

    /**
     * Returns the size of the control messages sent.
     *
     * @return bytes since the last start of the agent
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
