package org.papayawalk.daemon.managed.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.core.upstream.UpstreamRegistration;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.NewVersionRule;
import org.papayawalk.core.weight.OriginShare;
import org.papayawalk.core.weight.RelayFirstPlanner;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.core.weight.SwarmPlanner;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.swarm.ChunkServer;
import org.papayawalk.daemon.swarm.StagingArea;
import org.papayawalk.daemon.swarm.Swarm;
import org.papayawalk.daemon.swarm.SwarmDependencies;
import org.papayawalk.daemon.swarm.WeightSettings;
import org.papayawalk.daemon.swarm.WireChunkTransport;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.ChunkAvailability;
import org.papayawalk.wire.proto.Envelope;

/**
 * Distribution of weights among the daemons on the managed platform. Entries are relays: they fetch
 * a new version once for their region and serve it to the agents there. Agents fetch from relays
 * first. Hosts are identified by their IP address. Thread-safe.
 */
public final class ManagedSwarm {
    /** Limit of the in-flight requests of an agent to relays. */
    private static final int MAX_RELAY_REQUESTS = 2;

    /** Limit of the in-flight requests to sources, see {@link SwarmPlannerSettings}. */
    private static final int MAX_REQUESTS = 4;

    private static final int MAX_AGENT_ORIGIN_REQUESTS = 2;

    /**
     * Time in which an agent requests a new version from relays only, so that they have it first.
     */
    private static final Duration RELAY_HEAD_START = Duration.ofMillis(400);

    /** Share of the link for chunks sent to peers; the rest is reserved for live responses. */
    private static final double UPLINK_SHARE = 0.85;

    /** Rate that does not limit the chunks received, as the link itself does. */
    private static final double UNPACED_BYTES_PER_SECOND = 1e9;

    /** Limit of the chunks held in memory, in bytes. */
    private static final long CHUNK_MEMORY_BYTES = 64L << 20;

    private final ManagedNode node;

    /** Service whose engines load the weights; empty for a relay. */
    private final Optional<ServiceId> service;

    /** Service whose agents already hold the version that a relay fetches; empty if none do. */
    private volatile Optional<ServiceId> holderService = Optional.empty();

    /** Whether the wanted version is new, see {@link NewVersionRule}. */
    private volatile boolean newVersion;

    /** Request for the wanted version; empty if it is not known or does not matter. */
    private volatile Optional<RequestedVersion> requested = Optional.empty();

    /** This host, identified by its IP address. */
    private final HostId self;

    private final Swarm swarm;

    private final ChunkServer server;

    /**
     * Creates a swarm without a wanted version.
     *
     * @param node services shared by the parts of the daemon
     * @param service service whose engines load the weights; empty for a relay
     * @param origin origin of the weights
     * @param stagingArea writes chunks to the staging area of the engine
     * @param work executor for blocking calls
     */
    public ManagedSwarm(
            ManagedNode node,
            Optional<ServiceId> service,
            ManagedOrigin origin,
            StagingArea stagingArea,
            ExecutorService work) {
        this.node = node;
        this.service = service;
        ManagedSettings settings = node.settings();
        self = new HostId(settings.ip());
        double uplink = settings.linkBytesPerSecond() * UPLINK_SHARE;
        swarm =
                new Swarm(
                        new SwarmPeer(self, settings.region(), service.isEmpty()),
                        new WeightSettings(
                                this::planner,
                                uplink,
                                UNPACED_BYTES_PER_SECOND,
                                CHUNK_MEMORY_BYTES),
                        node.clock(),
                        work,
                        new SwarmDependencies(
                                new WireChunkTransport(self, node.peers(), this::peerAddress),
                                origin,
                                stagingArea,
                                origin,
                                this::peers));
        server = new ChunkServer(swarm, uplink, node.clock(), node.thread());
    }

    /**
     * Sets the version to fetch. It must be registered with the origin.
     *
     * @param version version
     * @param isNew whether possibly no host holds the version yet, see {@link NewVersionRule}
     * @param agents service whose agents hold the version if it is not new; may be empty
     * @param request request for the version, empty to give neighbors time to offer chunks first
     */
    public void setWantedVersion(
            WeightVersion version,
            boolean isNew,
            Optional<ServiceId> agents,
            Optional<RequestedVersion> request) {
        newVersion = isNew;
        requested = request;
        holderService = isNew ? Optional.empty() : agents;
        swarm.setWantedVersion(version.digest());
    }

    /**
     * Returns whether a version is new, see {@link NewVersionRule}.
     *
     * @param request version that the operator requested, empty if none was requested
     * @param served whether an engine is known to serve the version
     * @return true if the version may have to be fetched from the origin
     */
    public boolean isNewVersion(Optional<RequestedVersion> request, boolean served) {
        return NewVersionRule.isNew(request, node.settings().firstStart(), served);
    }

    /**
     * Returns the swarm that fetches and serves the chunks.
     *
     * @return thread-safe swarm
     */
    public Swarm swarm() {
        return swarm;
    }

    /**
     * Returns the position of this host in the order in which the agents of its service switch to a
     * version. All agents with the same list of hosts compute the same order.
     *
     * @param version version; part of the rendezvous key of the order
     * @return position from 0 for the first host to 1 for the last
     */
    public double switchPosition(WeightVersion version) {
        List<SwarmPeer> agents = new ArrayList<>();
        agents.add(new SwarmPeer(self, node.settings().region()));
        service.ifPresent(s -> addAgents(agents, s));
        List<HostId> hosts = agents.stream().map(SwarmPeer::host).toList();
        int rank = RendezvousHash.rank(self, hosts, version + "/switch");
        return (double) rank / Math.max(1, hosts.size() - 1);
    }

    /**
     * Returns the handler for messages of peers about weights.
     *
     * @return thread-safe handler
     */
    public MessageHandler handler() {
        return new MessageHandler() {
            @Override
            public void onMessage(Envelope message, PeerServerConnection from) {
                if (message.hasChunkAvailability()) {
                    ChunkAvailability a = message.getChunkAvailability();
                    swarm.updateAvailability(
                            new HostId(a.getHost()),
                            a.getDigestPrefix(),
                            BitSet.valueOf(a.getBitmap().toByteArray()),
                            BitSet.valueOf(a.getFetching().toByteArray()));
                } else if (message.hasChunkRequest() || message.hasManifestRequest()) {
                    server.handle(message, from);
                }
            }

            @Override
            public void onClose(PeerServerConnection from) {
                // The connection itself drops replies that are sent after it was closed.
            }
        };
    }

    private ChunkPlanner planner(
            SwarmPeer host, Digest digest, Manifest manifest, Instant startedAt) {
        Optional<OriginSpec> spec = node.state().snapshot().desired().flatMap(DesiredState::origin);
        RegionId originRegion =
                spec.map(OriginSpec::domain)
                        .map(node.settings()::region)
                        .orElse(node.settings().region());
        SwarmPlannerSettings settings =
                new SwarmPlannerSettings(
                        DistributionPolicy.BYTES,
                        originRegion,
                        MAX_REQUESTS,
                        host.relay()
                                ? relayOriginRequests(spec, originRegion, digest, startedAt)
                                : MAX_AGENT_ORIGIN_REQUESTS,
                        host.relay(),
                        NewVersionRule.isJustRequested(requested, startedAt)
                                ? Duration.ZERO
                                : SwarmPlannerSettings.OFFER_WAIT);
        SwarmPlanner swarmPlanner =
                new SwarmPlanner(
                        host.host(),
                        host.region(),
                        digest,
                        manifest.chunkCount(),
                        settings,
                        new SplittableRandom(self.hashCode() * 31L + digest.hashCode()),
                        startedAt);
        if (host.relay()) {
            return swarmPlanner;
        }
        Instant fallbackFrom = newVersion ? startedAt.plus(RELAY_HEAD_START) : startedAt;
        return new RelayFirstPlanner(
                digest.value(),
                manifest.chunkCount(),
                MAX_RELAY_REQUESTS,
                swarmPlanner,
                fallbackFrom);
    }

    // The entries of the origin's region share its connections.
    private int relayOriginRequests(
            Optional<OriginSpec> origin, RegionId originRegion, Digest digest, Instant now) {
        long hosts =
                peers(digest, now).stream().filter(p -> p.region().equals(originRegion)).count();
        int connections = origin.map(OriginSpec::maxConnections).orElse(1);
        return OriginShare.requestsPerHost(connections, (int) hosts);
    }

    // Returns the hosts to exchange the wanted version with, including this one: for a relay all
    // entries, for an agent only the entries of its region, and the agents that may hold it.
    private List<SwarmPeer> peers(Digest digest, Instant now) {
        List<SwarmPeer> peers = new ArrayList<>();
        boolean relay = service.isEmpty();
        peers.add(new SwarmPeer(self, node.settings().region(), relay));
        node.liveEntries()
                .forEach(
                        (address, domain) -> {
                            HostId host =
                                    new HostId(address.substring(0, address.lastIndexOf(':')));
                            RegionId region = node.settings().region(domain);
                            boolean near = region.equals(node.settings().region());
                            if (relay) {
                                peers.add(new SwarmPeer(host, region));
                            } else if (near) {
                                peers.add(new SwarmPeer(host, region, true));
                            }
                        });
        service.or(() -> holderService).ifPresent(s -> addAgents(peers, s));
        return peers;
    }

    // Adds the agents of a service except this host.
    private void addAgents(List<SwarmPeer> peers, ServiceId agentService) {
        for (UpstreamRegistration r : node.state().snapshot().upstreams(agentService)) {
            HostId host = new HostId(r.ip());
            if (!host.equals(self)) {
                peers.add(new SwarmPeer(host, node.settings().region(r.domain())));
            }
        }
    }

    private Optional<String> peerAddress(HostId host) {
        return Optional.of(host.value() + ":" + node.settings().peerPort());
    }
}
