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
import org.papayawalk.log.Event;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.Heartbeat;

/**
 * Role of the process before one upstream: wires the door, the swarm and the rollout together.
 * Thread-safe; its tick runs on the control thread.
 */
public final class AgentRole implements RoleHandler, AutoCloseable {
    /** Longest silence of an upstream within an answer. */
    private static final Duration UPSTREAM_SILENCE = Duration.ofSeconds(30);

    /** Longest silence of an upstream that is asked for its health. */
    private static final Duration PROBE_SILENCE = Duration.ofSeconds(1);

    /** Longest silence of an engine that takes an order. */
    private static final Duration ORDER_SILENCE = Duration.ofSeconds(30);

    /** Connections to the upstream at once. */
    private static final int UPSTREAM_CONNECTIONS = 4096;

    /** Connections for orders and probes at once. */
    private static final int ORDER_CONNECTIONS = 16;

    /** Time between probes of the upstream. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    /** Node. */
    private final Node node;

    /** Settings. */
    private final AgentSettings settings;

    /** HTTP callers to close at the end. */
    private final List<BlockingHttpClient> callers = new ArrayList<>();

    /** Asks the upstream for its state. */
    private final UpstreamProbe probe;

    /** Door for requests. */
    private final UpstreamGateway door;

    /** Fetches and offers weights. */
    private final Swarm swarm;

    /** Answers peers' requests for chunks. */
    private final ChunkServer chunkServer;

    /** Advances the rollout. */
    private final RolloutDriver rollout;

    /** Whether a probe is under way. */
    private boolean probing;

    /** When the last probe was sent. */
    private Instant probedAt = Instant.MIN;

    /** Tells whether the upstream has crashed. */
    private final ProbingCrashDetector crashWatch;

    /**
     * Creates the role.
     *
     * @param node node
     * @param settings settings
     * @param origin origin of the weights
     * @param objects object store
     * @param transport messages about chunks
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
        probe = new UpstreamProbe(caller(PROBE_SILENCE, 2, true), upstream, node.clock());
        HostId self = node.self().host();
        IdempotencyTable onceTable = new IdempotencyTable(node.platform().table(), node.clock());
        crashWatch = new ProbingCrashDetector(node, probe, this::runningFingerprints);
        Forwarder forwarder =
                new Forwarder(
                        caller(UPSTREAM_SILENCE, UPSTREAM_CONNECTIONS, true),
                        caller(UPSTREAM_SILENCE, UPSTREAM_CONNECTIONS, false),
                        upstream,
                        new IdempotencyGuard(onceTable, objects, self, node.clock()),
                        crashWatch,
                        node.clock());
        door = new UpstreamGateway(forwarder, node.clock(), node.work());
        Engine engine = new HttpEngine(caller(ORDER_SILENCE, ORDER_CONNECTIONS, true), upstream);
        swarm =
                new Swarm(
                        new SwarmPeer(self, node.self().region()),
                        settings.weights(),
                        node.clock(),
                        node.work(),
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
                        node.control());
        LeaseManager leases = new LeaseManager(node.platform().table(), self, node.clock());
        rollout = new RolloutDriver(node, engine, swarm, door, leases);
    }

    @Override
    public void describe(Heartbeat.Builder heartbeat) {
        Instant now = node.clock().instant();
        UpstreamState upstream = door.upstream();
        DownloadProgress progress = swarm.progress();
        int capacity = plan().map(p -> p.spec().maxInFlight()).orElse(0);
        Digest wanted = plan().map(p -> p.spec().digest()).orElse(Digest.NONE);
        heartbeat
                .setDraining(door.draining())
                .setServingDigest(upstream.serving().value())
                .setRolloutStep(rollout.step().name())
                .setInFlight(door.inFlight())
                .setQueued(door.queued())
                .setCapacity(capacity)
                .setUpstreamHealthy(upstream.healthy(now))
                .setWantedDigest(wanted.value())
                .setChunksHeld(progress.held())
                .setChunksTotal(progress.total());
    }

    @Override
    public Collection<HostId> extraNeighbours(List<Member> members) {
        return plan().map(p -> rollout.chain(p.spec(), members)).orElse(List.of());
    }

    @Override
    public void received(Envelope message, PeerServerConnection from) {
        switch (message.getBodyCase()) {
            case UPSTREAM_REQUEST -> door.request(message, from);
            case CANCEL_REQUEST -> door.cancel(from, message.getCall());
            case CHUNK_REQUEST, MANIFEST_REQUEST -> chunkServer.received(message, from);
            case CHUNK_AVAILABILITY -> {
                var offer = message.getChunkAvailability();
                BitSet held = BitSet.valueOf(offer.getBitmap().toByteArray());
                swarm.offered(new HostId(offer.getHost()), offer.getDigestPrefix(), held);
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
        door.closed(from);
    }

    @Override
    public void tick(Instant now) {
        door.plan(plan().orElse(null));
        door.expire();
        probeUpstream(now);
        plan().ifPresent(p -> rollout.advance(p.spec(), door.upstream(), now));
    }

    @Override
    public void drain(String reason) {
        if (!door.draining()) {
            Event.named("draining").with("reason", reason).info();
        }
        door.drain();
        node.announce();
    }

    @Override
    public List<String> notes() {
        List<String> notes = new ArrayList<>();
        if (plan().isEmpty()) {
            notes.add("the configuration does not list fleet \"" + settings.fleet() + "\"");
        }
        if (!rollout.remark().isEmpty()) {
            notes.add(rollout.remark());
        }
        if (door.draining()) {
            notes.add("leaving, " + door.inFlight() + " requests still run");
        }
        return notes;
    }

    /**
     * Returns the number of requests that run.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return door.inFlight();
    }

    @Override
    public void close() {
        swarm.close();
        callers.forEach(BlockingHttpClient::close);
    }

    /**
     * Creates a caller that is closed with the role.
     *
     * @param silence longest wait for the next byte
     * @param connections connections at once
     * @param reuse whether connections are used again
     * @return the caller
     */
    private BlockingHttpClient caller(Duration silence, int connections, boolean reuse) {
        BlockingHttpClient caller = new BlockingHttpClient(silence, connections, reuse);
        callers.add(caller);
        return caller;
    }

    /**
     * Returns the plan of the agent's fleet.
     *
     * @return plan in force, or empty if the configuration does not list the fleet
     */
    private Optional<FleetPlan> plan() {
        return node.configuration().fleet(settings.fleet());
    }

    /**
     * Asks the upstream for its state if that is due. Called on the control thread.
     *
     * @param now present time
     */
    private void probeUpstream(Instant now) {
        if (probing || probedAt.plus(PROBE_INTERVAL).isAfter(now)) {
            return;
        }
        probing = true;
        probedAt = now;
        node.work()
                .execute(
                        () -> {
                            var result = probe.ask();
                            node.control()
                                    .run(
                                            () -> {
                                                probing = false;
                                                result.peek(this::probed);
                                            });
                        });
    }

    /**
     * Takes the upstream's state.
     *
     * @param state state
     */
    private void probed(UpstreamState state) {
        crashWatch.reported(state.incarnation());
        door.report(state);
    }

    /**
     * Returns the fingerprints of the requests that run.
     *
     * @return fingerprints
     */
    private List<String> runningFingerprints() {
        return door.runningFingerprints();
    }

    /**
     * Returns the agents that want a version.
     *
     * @param digest digest of the manifest
     * @param now present time
     * @return agents of model fleets that want it
     */
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
