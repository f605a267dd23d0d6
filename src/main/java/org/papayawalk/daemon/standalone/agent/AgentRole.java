package org.papayawalk.daemon.standalone.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.papayawalk.adapter.standalone.BlockingHttpClient;
import org.papayawalk.adapter.standalone.HttpEngine;
import org.papayawalk.adapter.standalone.ManifestCodec;
import org.papayawalk.core.config.FleetPlan;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.port.ObjectStore;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.daemon.standalone.RoleHandler;
import org.papayawalk.daemon.standalone.idempotency.IdempotencyTable;
import org.papayawalk.daemon.swarm.ChunkServer;
import org.papayawalk.daemon.swarm.ChunkTransport;
import org.papayawalk.daemon.swarm.DownloadProgress;
import org.papayawalk.daemon.swarm.Swarm;
import org.papayawalk.daemon.swarm.SwarmDependencies;
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/**
 * Role of a stand-alone agent, which runs beside one upstream. Connects the request gateway, the
 * distribution of weights and the rollout.
 *
 * <p>Thread-safe; {@link #tick} runs on the control thread.
 */
public final class AgentRole implements RoleHandler, AutoCloseable {
    /** Maximum time without a byte from the upstream within a response. */
    private static final Duration UPSTREAM_READ_TIMEOUT = Duration.ofSeconds(30);

    /** Maximum time without a byte of a health probe. */
    private static final Duration PROBE_READ_TIMEOUT = Duration.ofSeconds(1);

    /** Maximum time without a byte of an engine call such as a switch command. */
    private static final Duration ENGINE_READ_TIMEOUT = Duration.ofSeconds(30);

    private static final int MAX_UPSTREAM_CONNECTIONS = 4096;

    private static final int MAX_ENGINE_CONNECTIONS = 16;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    private final Node node;

    private final AgentSettings settings;

    private final List<BlockingHttpClient> callers = new ArrayList<>();

    private final UpstreamProbe probe;

    private final UpstreamGateway gateway;

    private final Swarm swarm;

    private final ChunkServer chunkServer;

    private final RolloutDriver rollout;

    /** Confined to the control thread. */
    private boolean probeInFlight;

    /** When the last probe was sent. Confined to the control thread. */
    private Instant probedAt = Instant.MIN;

    private final ProbingCrashDetector crashDetector;

    /**
     * Creates the role and starts the weights thread.
     *
     * @param node services shared by the parts of the daemon
     * @param settings settings of the agent
     * @param origin origin of the weights
     * @param objects object store for large responses of non-idempotent calls
     * @param transport sends chunk messages to peers
     */
    public AgentRole(
            Node node,
            AgentSettings settings,
            Origin origin,
            ObjectStore objects,
            ChunkTransport transport) {
        this.node = node;
        this.settings = settings;
        String upstream = settings.upstreamAddress();
        probe = new UpstreamProbe(newHttpCaller(PROBE_READ_TIMEOUT, 2), upstream, node.clock());
        HostId self = node.self().host();
        IdempotencyTable onceTable = new IdempotencyTable(node.platform().table(), node.clock());
        crashDetector = new ProbingCrashDetector(node, probe, this::runningRequests);
        Forwarder forwarder =
                new Forwarder(
                        newHttpCaller(UPSTREAM_READ_TIMEOUT, MAX_UPSTREAM_CONNECTIONS),
                        upstream,
                        new IdempotencyGuard(onceTable, objects, self, node.clock()),
                        crashDetector,
                        node.clock());
        gateway = new UpstreamGateway(forwarder, node.clock(), node.blockingExecutor());
        Engine engine =
                new HttpEngine(
                        newHttpCaller(ENGINE_READ_TIMEOUT, MAX_ENGINE_CONNECTIONS), upstream);
        swarm =
                new Swarm(
                        new SwarmPeer(self, node.self().region()),
                        settings.weights(),
                        node.clock(),
                        node.blockingExecutor(),
                        new SwarmDependencies(
                                transport,
                                origin,
                                new EngineStagingArea(engine),
                                ManifestCodec::read,
                                this::swarmPeers));
        chunkServer =
                new ChunkServer(
                        swarm,
                        settings.weights().uplinkBytesPerSecond(),
                        node.clock(),
                        node.controlThread());
        LeaseManager leases = new LeaseManager(node.platform().table(), self, node.clock());
        rollout = new RolloutDriver(node, engine, swarm, gateway, leases);
    }

    @Override
    public void addToHeartbeat(Heartbeat.Builder heartbeat) {
        Instant now = node.clock().instant();
        UpstreamState upstream = gateway.upstream();
        DownloadProgress progress = swarm.progress();
        int capacity = fleetPlan().map(p -> p.spec().maxInFlight()).orElse(0);
        Digest wanted = fleetPlan().map(p -> p.spec().digest()).orElse(Digest.NONE);
        heartbeat
                .setDraining(gateway.draining())
                .setServingDigest(upstream.serving().value())
                .setRolloutStep(rollout.step().name())
                .setInFlight(gateway.inFlight())
                .setQueued(gateway.queued())
                .setCapacity(capacity)
                .setUpstreamHealthy(upstream.isHealthy(now))
                .setWantedDigest(wanted.value())
                .setChunksHeld(progress.heldChunks())
                .setChunksTotal(progress.totalChunks());
    }

    @Override
    public Collection<HostId> additionalNeighbors(List<Member> members) {
        return fleetPlan().map(p -> rollout.chainNeighbors(p.spec(), members)).orElse(List.of());
    }

    @Override
    public void received(Envelope message, PeerServerConnection from) {
        switch (message.getBodyCase()) {
            case UPSTREAM_REQUEST -> gateway.handleRequest(message, from);
            case CANCEL_REQUEST -> gateway.cancel(from, message.getCall());
            case CHUNK_REQUEST, MANIFEST_REQUEST -> chunkServer.handle(message, from);
            case CHUNK_AVAILABILITY -> {
                var announcement = message.getChunkAvailability();
                BitSet held = BitSet.valueOf(announcement.getBitmap().toByteArray());
                swarm.updateAvailability(
                        new HostId(announcement.getHost()),
                        announcement.getDigestPrefix(),
                        held,
                        BitSet.valueOf(announcement.getFetching().toByteArray()));
            }
            default ->
                    Event.named("message-ignored")
                            .with("kind", message.getBodyCase())
                            .with("peer", from.remoteAddress())
                            .warn();
        }
    }

    @Override
    public void closed(PeerServerConnection from) {
        gateway.connectionClosed(from);
    }

    @Override
    public void tick(Instant now) {
        gateway.setPlan(fleetPlan().orElse(null));
        gateway.expire();
        probeUpstream(now);
        fleetPlan().ifPresent(p -> rollout.advance(p.spec(), gateway.upstream(), now));
    }

    @Override
    public void drain(String reason) {
        if (!gateway.draining()) {
            Event.named("draining").with("reason", reason).info();
        }
        gateway.drain();
        node.sendHeartbeatsNow();
    }

    @Override
    public List<String> statusNotes() {
        List<String> notes = new ArrayList<>();
        if (fleetPlan().isEmpty()) {
            notes.add("the configuration does not list fleet \"" + settings.fleet() + "\"");
        }
        if (!rollout.delayReason().isEmpty()) {
            notes.add(rollout.delayReason());
        }
        if (gateway.draining()) {
            notes.add("draining, " + gateway.inFlight() + " requests in flight");
        }
        return notes;
    }

    /**
     * Returns the number of requests in flight to the upstream.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return gateway.inFlight();
    }

    @Override
    public void close() {
        swarm.close();
        callers.forEach(BlockingHttpClient::close);
    }

    // Creates a caller that is closed with the role.
    private BlockingHttpClient newHttpCaller(Duration readTimeout, int connections) {
        BlockingHttpClient caller = new BlockingHttpClient(readTimeout, connections);
        callers.add(caller);
        return caller;
    }

    // Empty if the configuration in force does not list the fleet of this agent.
    private Optional<FleetPlan> fleetPlan() {
        return node.configuration().fleet(settings.fleet());
    }

    // Sends a health probe if one is due. Called on the control thread.
    private void probeUpstream(Instant now) {
        if (probeInFlight || probedAt.plus(PROBE_INTERVAL).isAfter(now)) {
            return;
        }
        probeInFlight = true;
        probedAt = now;
        node.blockingExecutor()
                .execute(
                        () -> {
                            var result = probe.query();
                            node.controlThread()
                                    .execute(
                                            () -> {
                                                probeInFlight = false;
                                                result.peek(this::onProbed);
                                            });
                        });
    }

    // Called on the control thread.
    private void onProbed(UpstreamState state) {
        crashDetector.recordIncarnation(state.incarnation());
        gateway.recordState(state);
    }

    private List<RunningRequest> runningRequests() {
        return gateway.runningRequests();
    }

    // Returns the agents of model fleets that want the version and are presumed alive.
    private List<SwarmPeer> swarmPeers(Digest digest, Instant now) {
        List<String> fleets =
                node.configuration().fleets().stream()
                        .filter(p -> p.spec().kind() == UpstreamKind.MODEL)
                        .filter(p -> p.spec().digest().equals(digest))
                        .map(p -> p.spec().fleet().value())
                        .toList();
        return node.members().stream()
                .filter(m -> m.record().role() == HostRole.AGENT)
                .filter(m -> fleets.contains(m.record().fleet()))
                .filter(m -> m.host().equals(node.self().host()) || m.presumedAlive(now))
                .map(m -> new SwarmPeer(m.host(), m.record().region()))
                .sorted(Comparator.comparing(SwarmPeer::host))
                .toList();
    }
}
