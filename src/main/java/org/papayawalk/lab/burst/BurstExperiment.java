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
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.ThreadCpuTime;
import org.papayawalk.lab.standin.PublishRequest;
import org.papayawalk.lab.standin.PublishedVersion;

/**
 * Runs one burst experiment: distributes a small first version, measures live requests in a quiet
 * phase, then distributes the version that is measured.
 */
final class BurstExperiment {
    /** Interval at which the state of the hosts is polled, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 10;

    /** Duration of the quiet phase, in milliseconds. */
    private static final long QUIET_PHASE_MILLIS = 6000;

    /** Share of the hosts that the fault {@code kill} kills. */
    private static final double KILLED_SHARE = 0.05;

    /** Share of the shortest possible time after which the fault {@code kill} kills hosts. */
    private static final double KILL_AT_BOUND_SHARE = 0.4;

    private final BurstSettings settings;

    private final Random random;

    /**
     * Creates an experiment.
     *
     * @param settings settings of the experiment
     */
    BurstExperiment(BurstSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
    }

    /**
     * Runs the experiment.
     *
     * @return report
     * @throws IOException if a local address cannot be bound
     * @throws InterruptedException if the thread is interrupted
     */
    BurstReport run() throws IOException, InterruptedException {
        try (BurstCluster cluster = new BurstCluster(settings)) {
            PublishedVersion first = publish(cluster, "1", 1 << 10, 1 << 10);
            PublishedVersion second =
                    publish(cluster, "2", settings.sizeBytes(), settings.chunkBytes());
            cluster.apply(first);
            awaitCount(() -> cluster.servingCount(first.digest()), settings.hosts());
            printProgress(
                    "hosts that serve the first version: " + cluster.servingCount(first.digest()));
            try (LoadGenerator load =
                    new LoadGenerator(cluster.entryAddresses(), settings.requestsPerSecond())) {
                TimeUnit.MILLISECONDS.sleep(QUIET_PHASE_MILLIS / 2);
                load.endPhase();
                TimeUnit.MILLISECONDS.sleep(QUIET_PHASE_MILLIS);
                double quiet = load.endPhase();
                return measure(cluster, second, load, quiet);
            }
        }
    }

    // Distributes the measured version. quietMillis is the latency before it starts.
    private BurstReport measure(
            BurstCluster cluster, PublishedVersion version, LoadGenerator load, double quietMillis)
            throws InterruptedException {
        Digest digest = version.digest();
        long originBefore = cluster.platform().origin().chunkBytesSent();
        long controlBefore = controlBytes(cluster);
        long cpuBefore = controlCpuNanos();
        Milestones milestones = new Milestones(settings);
        cluster.apply(version);
        boolean killDone = !settings.hasFault("kill");
        boolean outageUnfinished = settings.hasFault("platform-away");
        boolean outageStarted = false;
        while (!milestones.isDone() && milestones.seconds() < settings.limitSeconds()) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            if (!killDone && milestones.seconds() > KILL_AT_BOUND_SHARE * settings.boundSeconds()) {
                killDone = true;
                killHosts(cluster);
            }
            if (outageUnfinished && !outageStarted && milestones.seconds() > 1) {
                outageStarted = true;
                cluster.platform().setUnavailable(true);
                printProgress("platform is unreachable");
            }
            milestones.update(cluster, digest);
            if (outageStarted && outageUnfinished && milestones.copySeconds() > 0) {
                outageUnfinished = false;
                cluster.platform().setUnavailable(false);
                printProgress("platform is reachable again");
            }
        }
        Costs costs =
                new Costs(
                        milestones.seconds(),
                        cluster.platform().origin().chunkBytesSent() - originBefore,
                        controlBytes(cluster) - controlBefore,
                        controlCpuNanos() - cpuBefore);
        return report(cluster, digest, load, quietMillis, milestones, costs);
    }

    private BurstReport report(
            BurstCluster cluster,
            Digest digest,
            LoadGenerator load,
            double quietMillis,
            Milestones milestones,
            Costs costs) {
        if (!milestones.isDone()) {
            cluster.hosts().stream()
                    .filter(h -> h.running() && !h.servingVersion().equals(digest))
                    .limit(5)
                    .forEach(h -> printProgress(h.record().host() + " not serving: " + h.notes()));
        }
        double versionBytes = settings.sizeBytes();
        double hostSeconds = settings.hosts() * costs.seconds();
        return new BurstReport(
                settings.strategy().name(),
                settings.policy().name(),
                settings.hosts(),
                cluster.runningCount(),
                milestones.copySeconds(),
                milestones.allSeconds(),
                milestones.halfSeconds(),
                milestones.ninetySeconds(),
                settings.boundSeconds(),
                milestones.allSeconds() / settings.boundSeconds(),
                costs.originBytes() / versionBytes,
                cluster.links().maxBytes() / versionBytes,
                cluster.servingCount(digest),
                cluster.corruptedChunks(),
                load.mismatched(),
                load.sent(),
                load.failed(),
                quietMillis,
                load.endPhase(),
                costs.controlBytes() / hostSeconds,
                costs.controlCpuNanos() / 1e9 / hostSeconds,
                peakHeapMegabytes());
    }

    private PublishedVersion publish(
            BurstCluster cluster, String name, long sizeBytes, int chunkBytes) {
        PublishedVersion version =
                PublishedVersion.generate(
                        new PublishRequest(
                                "ube-helper", "", name, sizeBytes, chunkBytes, settings.seed()));
        cluster.platform().origin().publish(version);
        return version;
    }

    private void killHosts(BurstCluster cluster) {
        int count = (int) Math.ceil(settings.hosts() * KILLED_SHARE);
        List<LabAgent> hosts = new ArrayList<>(cluster.hosts());
        Collections.shuffle(hosts, random);
        hosts.subList(0, count).forEach(LabAgent::kill);
        printProgress("hosts killed: " + count);
    }

    private void awaitCount(LongSupplier count, long target) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(settings.limitSeconds());
        while (count.getAsLong() < target) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "first version served by %d of %d hosts within the limit of %d s"
                                .formatted(count.getAsLong(), target, settings.limitSeconds()));
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    // Returns the bytes of control messages of all hosts since the start.
    private static long controlBytes(BurstCluster cluster) {
        return cluster.hosts().stream().mapToLong(LabAgent::controlBytesSent).sum();
    }

    // Returns the CPU time of the control and weight threads since the start, in nanoseconds.
    private static long controlCpuNanos() {
        return ThreadCpuTime.cpuNanos("control-host", "weights-");
    }

    private static double peakHeapMegabytes() {
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(p -> p.getType() == MemoryType.HEAP)
                        .map(MemoryPoolMXBean::getPeakUsage)
                        .mapToLong(MemoryUsage::getUsed)
                        .sum()
                / 1e6;
    }

    /**
     * Prints a line of progress to standard error.
     *
     * @param line text without a prefix
     */
    static void printProgress(String line) {
        System.err.println("burst: " + line);
    }

    /**
     * Costs of the distribution. Immutable.
     *
     * @param seconds duration, in seconds
     * @param originBytes chunk bytes sent by the origin
     * @param controlBytes bytes of control messages of all hosts
     * @param controlCpuNanos CPU time of the control and weight threads of all hosts, in
     *     nanoseconds
     */
    private record Costs(
            double seconds, long originBytes, long controlBytes, long controlCpuNanos) {}
}
