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
import org.papayawalk.daemon.swarm.WeightSettings;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.cluster.LabPlatform;
import org.papayawalk.lab.standin.EngineSettings;
import org.papayawalk.lab.standin.EngineStandIn;
import org.papayawalk.lab.standin.PublishedVersion;
import org.papayawalk.wire.proto.Heartbeat;

/**
 * Agents, entries and stand-ins of a burst experiment in one process. Thread-safe once constructed.
 */
final class BurstCluster implements AutoCloseable {
    /** Fleet to which all hosts belong. */
    static final String FLEET = "helper";

    private final BurstSettings settings;

    private final LabPlatform platform;

    private final List<LabAgent> hosts = new ArrayList<>();

    private final List<LabEntry> entries = new ArrayList<>();

    private final RegionLinks links;

    private final Map<HostId, RegionId> regionByHost = new HashMap<>();

    /** Chunks that the fault {@code corrupt} changed. */
    private final AtomicLong corruptedChunks = new AtomicLong();

    /**
     * Starts the stand-ins, all agents and all entries.
     *
     * @param settings settings of the experiment
     * @throws IOException if a local address cannot be bound
     */
    BurstCluster(BurstSettings settings) throws IOException {
        this.settings = settings;
        this.links = new RegionLinks(settings.originBytesPerSecond());
        List<HostRecord> records = BurstSetup.hostList(settings);
        records.forEach(r -> regionByHost.put(r.host(), r.region()));
        platform = new LabPlatform(records, settings.originBytesPerSecond(), settings.seed());
        for (HostRecord r : records) {
            if (r.role() == HostRole.AGENT) {
                hosts.add(startAgent(r));
            } else {
                entries.add(new LabEntry(platform, r));
            }
        }
    }

    /**
     * Returns the agents of all hosts.
     *
     * @return hosts, including killed ones
     */
    List<LabAgent> hosts() {
        return hosts;
    }

    /**
     * Returns the addresses of the entries.
     *
     * @return IP addresses with ports
     */
    List<String> entryAddresses() {
        return entries.stream().map(LabEntry::address).toList();
    }

    /**
     * Returns the stand-in of the platform.
     *
     * @return platform
     */
    LabPlatform platform() {
        return platform;
    }

    /**
     * Returns the links between regions, which count the bytes that they carry.
     *
     * @return links
     */
    RegionLinks links() {
        return links;
    }

    /**
     * Returns the number of chunks that the fault {@code corrupt} changed.
     *
     * @return 0 or more
     */
    long corruptedChunks() {
        return corruptedChunks.get();
    }

    /**
     * Sets the target version of the fleet in the configuration.
     *
     * @param version version, already published at the origin
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
        platform.applyConfig(List.of(row));
    }

    /**
     * Counts the running hosts that serve a version.
     *
     * @param digest digest of the manifest
     * @return number of hosts
     */
    long servingCount(Digest digest) {
        return hosts.stream().filter(h -> h.running() && h.servingVersion().equals(digest)).count();
    }

    /**
     * Counts the running hosts that hold all chunks of a version.
     *
     * @param digest digest of the manifest
     * @return number of hosts
     */
    long holdingCount(Digest digest) {
        return hosts.stream().filter(h -> h.running() && holds(h, digest)).count();
    }

    /**
     * Returns the mean share of the wanted version that the running hosts hold.
     *
     * @return 0 to 1; 0 if no host wants a version
     */
    double meanHeldShare() {
        return hosts.stream()
                .filter(LabAgent::running)
                .map(LabAgent::heartbeat)
                .filter(h -> h.getChunksTotal() > 0)
                .mapToDouble(h -> (double) h.getChunksHeld() / h.getChunksTotal())
                .average()
                .orElse(0);
    }

    /**
     * Counts the hosts that were not killed.
     *
     * @return number of hosts
     */
    long runningCount() {
        return hosts.stream().filter(LabAgent::running).count();
    }

    @Override
    public void close() {
        entries.forEach(LabEntry::close);
        hosts.forEach(LabAgent::close);
        platform.close();
    }

    // Tells whether a host serves a version, or has all its chunks verified and staged.
    private static boolean holds(LabAgent host, Digest digest) {
        if (host.servingVersion().equals(digest)) {
            return true;
        }
        Heartbeat h = host.heartbeat();
        return h.getWantedDigest().equals(digest.value())
                && h.getChunksTotal() > 0
                && h.getChunksHeld() == h.getChunksTotal();
    }

    private LabAgent startAgent(HostRecord record) throws IOException {
        WeightSettings weights =
                new WeightSettings(
                        BurstSetup.plannerFactory(settings),
                        settings.hostBytesPerSecond(),
                        settings.hostBytesPerSecond(),
                        2 * settings.sizeBytes());
        Origin origin =
                new RegionalOrigin(
                        platform.originClient(), record.region(), BurstSetup.originRegion(), links);
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
                                regionByHost,
                                links,
                                settings,
                                platform.clock(),
                                corruptedChunks));
    }
}
