package org.papayawalk.lab.burst;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.port.Origin;
import org.papayawalk.daemon.standalone.agent.WeightSettings;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.cluster.LabPlatform;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.PublishedVersion;
import org.papayawalk.wire.proto.Heartbeat;

/** Stand-ins, agents and entries of a burst in one process. Thread-safe once it is started. */
final class BurstCluster implements AutoCloseable {
    /** Fleet of all hosts. */
    static final String FLEET = "helper";

    /** Settings. */
    private final BurstSettings settings;

    /** Platform. */
    private final LabPlatform platform;

    /** Hosts. */
    private final List<LabAgent> hosts = new ArrayList<>();

    /** Entries. */
    private final List<LabEntry> entries = new ArrayList<>();

    /** Links between regions. */
    private final RegionLinks links;

    /** Regions by host. */
    private final Map<HostId, RegionId> regions = new HashMap<>();

    /** Chunks that arrived corrupted. */
    private final AtomicLong corrupted = new AtomicLong();

    /**
     * Starts everything.
     *
     * @param settings settings
     * @throws IOException if an address cannot be used
     */
    BurstCluster(BurstSettings settings) throws IOException {
        this.settings = settings;
        this.links = new RegionLinks(settings.originRate());
        List<HostRecord> records = BurstSetup.records(settings);
        records.forEach(r -> regions.put(r.host(), r.region()));
        platform = new LabPlatform(records, settings.originRate(), settings.seed());
        for (HostRecord r : records) {
            if (r.role() == HostRole.AGENT) {
                hosts.add(agent(r));
            } else {
                entries.add(new LabEntry(platform, r));
            }
        }
    }

    /**
     * Returns the hosts.
     *
     * @return hosts, killed ones among them
     */
    List<LabAgent> hosts() {
        return hosts;
    }

    /**
     * Returns the addresses of the entries.
     *
     * @return IP numbers and ports
     */
    List<String> entryAddresses() {
        return entries.stream().map(LabEntry::address).toList();
    }

    /**
     * Returns the platform.
     *
     * @return platform
     */
    LabPlatform platform() {
        return platform;
    }

    /**
     * Returns the links between regions.
     *
     * @return links
     */
    RegionLinks links() {
        return links;
    }

    /**
     * Returns the number of chunks that arrived corrupted.
     *
     * @return 0 or more
     */
    long corrupted() {
        return corrupted.get();
    }

    /**
     * Has a version accepted.
     *
     * @param version version
     */
    void apply(PublishedVersion version) {
        FleetSpec row =
                new FleetSpec(
                        new FleetId(FLEET),
                        UpstreamKind.MODEL,
                        "ube-helper",
                        "",
                        version.manifest().version(),
                        version.digest(),
                        Map.of(),
                        64,
                        256,
                        settings.maxUnavailable(),
                        false,
                        List.of());
        platform.apply(List.of(row));
    }

    /**
     * Counts the hosts that serve a version.
     *
     * @param digest digest of the manifest
     * @return hosts that were not killed and serve it
     */
    long serving(Digest digest) {
        return hosts.stream().filter(h -> h.running() && h.serving().equals(digest)).count();
    }

    /**
     * Counts the hosts that hold a version.
     *
     * @param digest digest of the manifest
     * @return hosts that were not killed and hold it whole
     */
    long holding(Digest digest) {
        return hosts.stream().filter(h -> h.running() && holds(h, digest)).count();
    }

    /**
     * Returns the mean share of the wanted version that the hosts have.
     *
     * @return 0 to 1
     */
    double meanShare() {
        return hosts.stream()
                .filter(LabAgent::running)
                .map(LabAgent::describe)
                .filter(h -> h.getChunksTotal() > 0)
                .mapToDouble(h -> (double) h.getChunksHeld() / h.getChunksTotal())
                .average()
                .orElse(0);
    }

    /**
     * Returns the number of hosts that were not killed.
     *
     * @return 0 or more
     */
    long alive() {
        return hosts.stream().filter(LabAgent::running).count();
    }

    @Override
    public void close() {
        entries.forEach(LabEntry::close);
        hosts.forEach(LabAgent::close);
        platform.close();
    }

    /**
     * Tells whether an agent has a whole version.
     *
     * @param host host
     * @param digest digest of the manifest
     * @return true if all its chunks are verified and with the engine
     */
    private static boolean holds(LabAgent host, Digest digest) {
        if (host.serving().equals(digest)) {
            return true;
        }
        Heartbeat h = host.describe();
        return h.getWantedDigest().equals(digest.value())
                && h.getChunksTotal() > 0
                && h.getChunksHeld() == h.getChunksTotal();
    }

    /**
     * Starts an agent with its engine.
     *
     * @param record line of the host list
     * @return host
     * @throws IOException if an address cannot be used
     */
    private LabAgent agent(HostRecord record) throws IOException {
        WeightSettings weights =
                new WeightSettings(
                        BurstSetup.planners(settings),
                        settings.hostRate(),
                        settings.hostRate(),
                        2 * settings.sizeBytes());
        Origin origin =
                new RegionalOrigin(
                        platform.originClient(), record.region(), BurstSetup.homeRegion(), links);
        return new LabAgent(
                platform,
                record,
                new EngineStandIn(new EngineSettings(20, 2, 256, false)),
                weights,
                origin,
                t ->
                        new BurstTransport(
                                t,
                                record.host(),
                                regions,
                                links,
                                settings,
                                platform.clock(),
                                corrupted));
    }
}
