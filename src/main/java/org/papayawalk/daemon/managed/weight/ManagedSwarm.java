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
import org.papayawalk.core.weight.RelayFirstPlanner;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.core.weight.SwarmPlanner;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.daemon.agent.ChunkServer;
import org.papayawalk.daemon.agent.Stager;
import org.papayawalk.daemon.agent.Swarm;
import org.papayawalk.daemon.agent.SwarmPorts;
import org.papayawalk.daemon.agent.WeightSettings;
import org.papayawalk.daemon.agent.WireChunkTransport;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.proto.ChunkAvailability;
import org.papayawalk.wire.proto.Envelope;

/**
 * Exchange of weights with other daemons of the site. Entries are relays: they fetch a new version
 * once for their region and hand it to the agents there; agents fetch from relays first. Hosts are
 * named by their IP number. Thread-safe.
 */
public final class ManagedSwarm {
    /** Chunk requests of an agent to relays that are under way at once. */
    private static final int RELAY_REQUESTS = 2;

    /** Chunk requests to peers that are under way at once. */
    private static final int PEER_REQUESTS = 4;

    /** Chunk requests to the origin that are under way at once. */
    private static final int ORIGIN_REQUESTS = 2;

    /** Time that relays are given to learn of a new version before others are asked. */
    private static final Duration RELAY_HEAD_START = Duration.ofMillis(400);

    /** Share of the link that chunks for peers may take; the rest is left to live answers. */
    private static final double UPLINK_SHARE = 0.85;

    /** Rate that does not hold back what is received; the link itself does. */
    private static final double UNPACED_BYTES_PER_SECOND = 1e9;

    /** Bytes of chunks held at the most. */
    private static final long CHUNK_MEMORY_BYTES = 64L << 20;

    /** Common part of the daemon. */
    private final ManagedNode node;

    /** Service whose engines want the weights; empty for a relay. */
    private final Optional<ServiceId> service;

    /** Service whose agents hold the version that a relay wants, if they do. */
    private volatile Optional<ServiceId> holders = Optional.empty();

    /** Whether the version wanted was named while this daemon ran. */
    private volatile boolean news;

    /** Name of this host. */
    private final HostId self;

    /** Exchange of chunks. */
    private final Swarm swarm;

    /** Answers requests for chunks. */
    private final ChunkServer server;

    /**
     * Creates an exchange that wants no version yet.
     *
     * @param node common part of the daemon
     * @param service service whose engines want the weights; empty for a relay
     * @param origin origin of the weights
     * @param stager puts chunks where the engine loads them from
     * @param work threads for calls that block
     */
    public ManagedSwarm(
            ManagedNode node,
            Optional<ServiceId> service,
            ManagedOrigin origin,
            Stager stager,
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
                        new SwarmPorts(
                                new WireChunkTransport(self, node.peers(), this::address),
                                origin,
                                stager,
                                origin,
                                this::peers));
        server = new ChunkServer(swarm, uplink, node.clock(), node.thread());
    }

    /**
     * Lets a version be fetched.
     *
     * @param version version
     * @param isNew whether it was named while this daemon ran, so that nobody holds it yet
     * @param agents service whose agents hold it otherwise
     */
    public void want(WeightVersion version, boolean isNew, Optional<ServiceId> agents) {
        news = isNew;
        holders = isNew ? Optional.empty() : agents;
        swarm.want(version.key());
    }

    /**
     * Tells whether nobody is sure to hold a version yet: it was named while this daemon ran, or
     * the daemon was restarted, maybe with all others.
     *
     * @param named version as named, empty if the operator named none
     * @return true if it has to be looked for as far as the origin
     */
    public boolean isNews(Optional<RequestedVersion> named) {
        boolean whileRunning = named.filter(v -> !v.learnedAt().equals(Instant.MIN)).isPresent();
        return whileRunning || !node.settings().firstStart();
    }

    /**
     * Returns the exchange of chunks.
     *
     * @return swarm
     */
    public Swarm swarm() {
        return swarm;
    }

    /**
     * Returns the place of this host among the agents of its service, in an order that all of them
     * compute alike.
     *
     * @param version version, which the order depends on
     * @return from 0 for the first up to 1
     */
    public double place(WeightVersion version) {
        List<SwarmPeer> agents = new ArrayList<>();
        agents.add(new SwarmPeer(self, node.settings().region()));
        service.ifPresent(s -> addAgents(agents, s));
        List<HostId> hosts = agents.stream().map(SwarmPeer::host).toList();
        int rank = RendezvousHash.rank(self, hosts, version + "/switch");
        return (double) rank / Math.max(1, hosts.size() - 1);
    }

    /**
     * Returns the handler of other daemons' messages about weights.
     *
     * @return handler
     */
    public MessageHandler handler() {
        return new MessageHandler() {
            @Override
            public void received(Envelope message, PeerChannel from) {
                if (message.hasChunkAvailability()) {
                    ChunkAvailability a = message.getChunkAvailability();
                    swarm.offered(
                            new HostId(a.getHost()),
                            a.getDigestPrefix(),
                            BitSet.valueOf(a.getBitmap().toByteArray()));
                } else if (message.hasChunkRequest() || message.hasManifestRequest()) {
                    server.received(message, from);
                }
            }

            @Override
            public void closed(PeerChannel from) {
                // Answers to a closed connection are dropped by the connection itself.
            }
        };
    }

    /**
     * Creates the planner of a download.
     *
     * @param host identity of this host
     * @param digest name of the version
     * @param manifest manifest of the version
     * @param startedAt present time
     * @return planner
     */
    private ChunkPlanner planner(
            SwarmPeer host, Digest digest, Manifest manifest, Instant startedAt) {
        RegionId originRegion =
                node.state()
                        .snapshot()
                        .desired()
                        .flatMap(DesiredState::origin)
                        .map(OriginSpec::domain)
                        .map(node.settings()::region)
                        .orElse(node.settings().region());
        SwarmPlannerSettings settings =
                new SwarmPlannerSettings(
                        DistributionPolicy.BYTES,
                        originRegion,
                        PEER_REQUESTS,
                        ORIGIN_REQUESTS,
                        host.relay());
        SwarmPlanner download =
                new SwarmPlanner(
                        host.host(),
                        host.region(),
                        digest,
                        manifest.chunkCount(),
                        settings,
                        new SplittableRandom(self.hashCode() * 31L + digest.hashCode()),
                        startedAt);
        if (host.relay()) {
            return download;
        }
        Instant othersFrom = news ? startedAt.plus(RELAY_HEAD_START) : startedAt;
        return new RelayFirstPlanner(
                digest.value(), manifest.chunkCount(), RELAY_REQUESTS, download, othersFrom);
    }

    /**
     * Returns the hosts that take part in the exchange of a version.
     *
     * @param digest name of the version
     * @param now present time
     * @return hosts, this one included
     */
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
        service.or(() -> holders).ifPresent(s -> addAgents(peers, s));
        return peers;
    }

    /**
     * Adds the agents of a service.
     *
     * @param peers list to add to
     * @param of service
     */
    private void addAgents(List<SwarmPeer> peers, ServiceId of) {
        for (UpstreamRegistration e : node.state().snapshot().upstreams(of)) {
            HostId host = new HostId(e.ip());
            if (!host.equals(self)) {
                peers.add(new SwarmPeer(host, node.settings().region(e.domain())));
            }
        }
    }

    /**
     * Returns the address of the daemon on a host.
     *
     * @param host name of the host
     * @return address
     */
    private Optional<String> address(HostId host) {
        return Optional.of(host.value() + ":" + node.settings().peerPort());
    }
}
