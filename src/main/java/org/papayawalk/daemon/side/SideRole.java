package org.papayawalk.daemon.side;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.desired.EngineSpec;
import org.papayawalk.core.desired.OriginSpec;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.site.SiteSettings;
import org.papayawalk.core.upstream.UpstreamEntry;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.core.weight.Download;
import org.papayawalk.core.weight.DownloadSettings;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.agent.ChunkServer;
import org.papayawalk.daemon.agent.Swarm;
import org.papayawalk.daemon.agent.WeightSettings;
import org.papayawalk.daemon.agent.WireChunkTransport;
import org.papayawalk.daemon.site.SiteMain;
import org.papayawalk.daemon.site.SiteNode;
import org.papayawalk.daemon.site.SiteView;
import org.papayawalk.daemon.site.StatusEndpoint;
import org.papayawalk.log.Event;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.proto.Envelope;

/** Role of the process beside a model engine. Thread-safe. */
public final class SideRole implements SiteMain.Role {
    /** Threads for calls that block. */
    private static final int WORKERS = 3;

    /** Chunk requests to peers that are under way at once. */
    private static final int MAX_REQUESTS = 4;

    /** Chunk requests to the origin that are under way at once. */
    private static final int MAX_ORIGIN_REQUESTS = 2;

    /** Share of the link that chunks for peers may take; the rest is left to live answers. */
    private static final double UPLINK_SHARE = 0.85;

    /** Rate that does not hold back what is received; the link itself does. */
    private static final double UNPACED_BYTES_PER_SECOND = 1e9;

    /** Bytes of chunks held at the most. */
    private static final long CHUNK_MEMORY_BYTES = 64L << 20;

    /** Common part of the daemon. */
    private final SiteNode node;

    /** Threads for calls that block. */
    private final ExecutorService work = Executors.newFixedThreadPool(WORKERS);

    /** Origin of the weights. */
    private final SiteOrigin origin;

    /**
     * Creates the role.
     *
     * @param node common part of the daemon
     */
    public SideRole(SiteNode node) {
        this.node = node;
        this.origin = new SiteOrigin(node.http(), node.state()::view);
    }

    @Override
    public void start() throws IOException {
        SiteSettings settings = node.settings();
        String upstream =
                settings.upstreamAddress()
                        .orElseThrow(() -> new IOException("no upstream is given"));
        HostId self = new HostId(settings.ip());
        LocalEngine engine = new LocalEngine(node.http(), upstream);
        double uplink = settings.linkBytesPerSecond() * UPLINK_SHARE;
        Swarm swarm =
                new Swarm(
                        new SwarmPeer(self, settings.region()),
                        new WeightSettings(
                                (host, digest, manifest, startedAt) ->
                                        new Download(
                                                host.host(),
                                                host.region(),
                                                digest,
                                                manifest.chunkCount(),
                                                downloadSettings(),
                                                new SplittableRandom(
                                                        self.hashCode() * 31L + digest.hashCode()),
                                                startedAt),
                                uplink,
                                UNPACED_BYTES_PER_SECOND,
                                CHUNK_MEMORY_BYTES),
                        node.clock(),
                        work,
                        new WireChunkTransport(self, node.peers(), this::address),
                        origin,
                        engine,
                        origin,
                        this::swarmPeers);
        ChunkServer chunks = new ChunkServer(swarm, uplink, node.clock(), node.thread());
        node.runAsAgent(handler(swarm, chunks));
        VersionDriver driver =
                new VersionDriver(engine, swarm, work, node.thread(), node.clock(), this::wanted);
        node.thread().run(driver::start);
        serveMetrics(swarm);
    }

    @Override
    public void stop() {
        Event.named("stopped").info();
    }

    /**
     * Returns the settings of a download, as the site is known now.
     *
     * @return settings
     */
    private DownloadSettings downloadSettings() {
        RegionId region =
                node.state()
                        .view()
                        .desired()
                        .flatMap(DesiredState::origin)
                        .map(OriginSpec::domain)
                        .map(node.settings()::region)
                        .orElse(node.settings().region());
        return new DownloadSettings(
                DistributionPolicy.BYTES, region, MAX_REQUESTS, MAX_ORIGIN_REQUESTS);
    }

    /**
     * Returns the version that the engine should serve.
     *
     * @return version, empty while the desired state is not known
     */
    private Optional<WeightVersion> wanted() {
        SiteView view = node.state().view();
        Optional<String> model =
                service()
                        .flatMap(s -> view.desired().flatMap(d -> d.engine(s)))
                        .map(EngineSpec::models)
                        .flatMap(m -> m.stream().findFirst());
        if (model.isEmpty() || view.upstreams().isEmpty()) {
            return Optional.empty();
        }
        SiteView.NamedVersion named = view.versions().get(model.get());
        WeightVersion version = new WeightVersion(model.get(), named == null ? 1 : named.number());
        origin.know(version);
        return Optional.of(version);
    }

    /**
     * Returns the hosts that want the same weights.
     *
     * @param digest name of the version
     * @param now present time
     * @return hosts, this one included
     */
    private List<SwarmPeer> swarmPeers(Digest digest, Instant now) {
        List<SwarmPeer> peers = new ArrayList<>();
        HostId self = new HostId(node.settings().ip());
        peers.add(new SwarmPeer(self, node.settings().region()));
        service()
                .ifPresent(
                        s -> {
                            for (UpstreamEntry e : node.state().view().upstreams(s)) {
                                HostId host = new HostId(e.ip());
                                if (!host.equals(self)) {
                                    RegionId region = node.settings().region(e.domain());
                                    peers.add(new SwarmPeer(host, region));
                                }
                            }
                        });
        return peers;
    }

    /**
     * Returns the service of the engine beside this process.
     *
     * @return service, empty if none is given
     */
    private Optional<ServiceId> service() {
        return node.settings().upstreamService();
    }

    /**
     * Returns the address of the agent on a host.
     *
     * @param host name of the host, which is its IP number
     * @return address
     */
    private Optional<String> address(HostId host) {
        return Optional.of(host.value() + ":" + node.settings().peerPort());
    }

    /**
     * Creates the handler of other agents' messages.
     *
     * @param swarm weights
     * @param chunks answers requests for chunks
     * @return handler
     */
    private static MessageHandler handler(Swarm swarm, ChunkServer chunks) {
        return new MessageHandler() {
            @Override
            public void received(Envelope message, PeerChannel from) {
                if (message.hasChunkAvailability()) {
                    var a = message.getChunkAvailability();
                    swarm.offered(
                            new HostId(a.getHost()),
                            a.getDigestPrefix(),
                            BitSet.valueOf(a.getBitmap().toByteArray()));
                } else if (message.hasChunkRequest() || message.hasManifestRequest()) {
                    chunks.received(message, from);
                }
            }

            @Override
            public void closed(PeerChannel from) {
                // Answers to a closed connection are dropped by the connection itself.
            }
        };
    }

    /**
     * Serves the metrics of the agent.
     *
     * @param swarm weights
     */
    private void serveMetrics(Swarm swarm) {
        PrometheusRegistry registry = new PrometheusRegistry();
        GaugeWithCallback.builder()
                .name("papayawalk_chunks_held")
                .help("Chunks of the wanted version that are verified and staged")
                .callback(c -> c.call(swarm.progress().held()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("papayawalk_chunks_total")
                .help("Chunks of the wanted version")
                .callback(c -> c.call(swarm.progress().total()))
                .register(registry);
        new StatusEndpoint(node.runtime().group(), () -> true, registry)
                .listenForMetrics(node.settings().ip());
    }
}
