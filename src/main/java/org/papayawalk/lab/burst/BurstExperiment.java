package org.papayawalk.lab.burst;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.lab.cluster.ControlCost;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.standin.PublishRequest;
import org.papayawalk.lab.standin.PublishedVersion;

/** Runs one burst: a small first version, a quiet phase, then the version that is measured. */
final class BurstExperiment {
    /** Time between looks at the hosts, in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    /** Length of the quiet phase, in milliseconds. */
    private static final long QUIET_MILLIS = 6000;

    /** Share of the hosts that the fault {@code kill} kills. */
    private static final double KILLED_SHARE = 0.05;

    /** Share of the bound after which hosts are killed. */
    private static final double KILL_AT = 0.4;

    /** Settings. */
    private final BurstSettings settings;

    /** Source of chance. */
    private final Random random;

    /**
     * Creates a burst.
     *
     * @param settings settings
     */
    BurstExperiment(BurstSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
    }

    /**
     * Runs the burst.
     *
     * @return result
     * @throws IOException if an address cannot be used
     * @throws InterruptedException if the thread is interrupted
     */
    BurstReport run() throws IOException, InterruptedException {
        try (BurstCluster cluster = new BurstCluster(settings)) {
            PublishedVersion first = publish(cluster, "1", 1 << 10, 1 << 10);
            PublishedVersion second =
                    publish(cluster, "2", settings.sizeBytes(), settings.chunkBytes());
            cluster.apply(first);
            await(() -> cluster.serving(first.digest()), settings.hosts());
            note("first version serves on " + cluster.serving(first.digest()));
            try (LoadGenerator load =
                    new LoadGenerator(cluster.entryAddresses(), settings.requestsPerSecond())) {
                TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS / 2);
                load.endPhase();
                TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
                double quiet = load.endPhase();
                return measure(cluster, second, load, quiet);
            }
        }
    }

    /**
     * Spreads the measured version.
     *
     * @param cluster hosts
     * @param version version
     * @param load live requests
     * @param quietMillis latency before
     * @return result
     * @throws InterruptedException if the thread is interrupted
     */
    private BurstReport measure(
            BurstCluster cluster, PublishedVersion version, LoadGenerator load, double quietMillis)
            throws InterruptedException {
        Digest digest = version.digest();
        long originBefore = cluster.platform().origin().chunkBytes();
        long controlBefore = controlBytes(cluster);
        long cpuBefore = controlCpuNanos();
        Milestones m = new Milestones(settings);
        cluster.apply(version);
        boolean killed = !settings.fault("kill");
        boolean away = settings.fault("platform-away");
        boolean gone = false;
        while (!m.done() && m.seconds() < settings.limitSeconds()) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
            if (!killed && m.seconds() > KILL_AT * settings.boundSeconds()) {
                killed = true;
                kill(cluster);
            }
            if (away && !gone && m.seconds() > 1) {
                gone = true;
                cluster.platform().away(true);
                note("platform away");
            }
            m.look(cluster, digest);
            if (gone && away && m.copySeconds() > 0) {
                away = false;
                cluster.platform().away(false);
                note("platform back");
            }
        }
        Costs costs =
                new Costs(
                        m.seconds(),
                        cluster.platform().origin().chunkBytes() - originBefore,
                        controlBytes(cluster) - controlBefore,
                        controlCpuNanos() - cpuBefore);
        return report(cluster, digest, load, quietMillis, m, costs);
    }

    /**
     * Makes the result.
     *
     * @param cluster hosts
     * @param digest version
     * @param load live requests
     * @param quietMillis latency before
     * @param m moments
     * @param costs what the burst took
     * @return result
     */
    private BurstReport report(
            BurstCluster cluster,
            Digest digest,
            LoadGenerator load,
            double quietMillis,
            Milestones m,
            Costs costs) {
        if (!m.done()) {
            cluster.hosts().stream()
                    .filter(h -> h.running() && !h.serving().equals(digest))
                    .limit(5)
                    .forEach(h -> note(h.record().host() + " behind: " + h.notes()));
        }
        double size = settings.sizeBytes();
        double hostSeconds = settings.hosts() * costs.seconds();
        return new BurstReport(
                settings.strategy().name(),
                settings.policy().name(),
                settings.hosts(),
                cluster.alive(),
                m.copySeconds(),
                m.allSeconds(),
                m.halfSeconds(),
                m.ninetySeconds(),
                settings.boundSeconds(),
                m.allSeconds() / settings.boundSeconds(),
                costs.originBytes() / size,
                cluster.links().mostBytes() / size,
                cluster.serving(digest),
                cluster.corrupted(),
                load.mixed(),
                load.sent(),
                load.failed(),
                quietMillis,
                load.endPhase(),
                costs.controlBytes() / hostSeconds,
                costs.controlCpuNanos() / 1e9 / hostSeconds,
                peakHeapMegabytes());
    }

    /**
     * Makes a version up.
     *
     * @param cluster hosts
     * @param name name of the version
     * @param size length
     * @param chunk length of a chunk
     * @return version at the origin
     */
    private PublishedVersion publish(BurstCluster cluster, String name, long size, int chunk) {
        PublishedVersion version =
                PublishedVersion.make(
                        new PublishRequest("ube-helper", "", name, size, chunk, settings.seed()));
        cluster.platform().origin().publish(version);
        return version;
    }

    /**
     * Kills a share of the hosts.
     *
     * @param cluster hosts
     */
    private void kill(BurstCluster cluster) {
        int count = (int) Math.ceil(settings.hosts() * KILLED_SHARE);
        List<LabAgent> hosts = new ArrayList<>(cluster.hosts());
        Collections.shuffle(hosts, random);
        hosts.subList(0, count).forEach(LabAgent::kill);
        note("killed " + count);
    }

    /**
     * Waits until a count is reached.
     *
     * @param count count
     * @param goal value to reach
     * @throws InterruptedException if the thread is interrupted
     */
    private void await(LongSupplier count, long goal) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.limitSeconds());
        while (count.getAsLong() < goal) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException(
                        "the first version serves on %d of %d".formatted(count.getAsLong(), goal));
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
    }

    /**
     * Sums the bytes of control messages.
     *
     * @param cluster hosts
     * @return bytes since the start
     */
    private static long controlBytes(BurstCluster cluster) {
        return cluster.hosts().stream().mapToLong(LabAgent::controlBytes).sum();
    }

    /**
     * Sums the processor time of control and weights threads.
     *
     * @return nanoseconds
     */
    private static long controlCpuNanos() {
        return ControlCost.cpuNanos("control-host", "weights-");
    }

    /**
     * Returns the peak heap of the process.
     *
     * @return megabytes
     */
    private static double peakHeapMegabytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(p -> p.getType() == MemoryType.HEAP)
                        .map(MemoryPoolMXBean::getPeakUsage)
                        .mapToLong(MemoryUsage::getUsed)
                        .sum()
                / 1e6;
    }

    /**
     * Prints progress.
     *
     * @param line line of text
     */
    static void note(String line) {
        System.err.println("burst: " + line);
    }

    /**
     * What a burst took. Immutable.
     *
     * @param seconds time
     * @param originBytes bytes of chunks that left the origin
     * @param controlBytes bytes of control messages of all hosts
     * @param controlCpuNanos processor time of control and weights threads of all hosts
     */
    private record Costs(
            double seconds, long originBytes, long controlBytes, long controlCpuNanos) {}
}
