package org.papayawalk.lab.config;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.papayawalk.adapter.ApplyResult;
import org.papayawalk.adapter.Json;
import org.papayawalk.core.config.FleetSpec;
import org.papayawalk.core.config.UpstreamKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.FleetId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.member.HostRecord;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.HostState;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.core.weight.SwarmPlannerFactory;
import org.papayawalk.core.weight.SwarmPlannerSettings;
import org.papayawalk.daemon.standalone.agent.WeightSettings;
import org.papayawalk.lab.ExperimentOptions;
import org.papayawalk.lab.FaultNames;
import org.papayawalk.lab.LabCommand;
import org.papayawalk.lab.cluster.LabAgent;
import org.papayawalk.lab.cluster.LabEntry;
import org.papayawalk.lab.cluster.LabPlatform;
import org.papayawalk.lab.cluster.LoopbackAddresses;
import org.papayawalk.lab.cluster.ThreadCpuTime;
import org.papayawalk.lab.standin.FaultSettings;
import org.papayawalk.lab.standin.ServiceStandIn;

/** Measures how fast changes are in force, and what control costs by the number of daemons. */
@Parameters(commandDescription = "Measure changes of the configuration and the cost of control")
public final class ConfigCommand implements LabCommand {
    /** Faults that can be caused. */
    private static final List<String> FAULTS = List.of("lose-answer");

    /** Length of the phase without changes, in seconds. */
    private static final int IDLE_SECONDS = 6;

    /** Longest wait until a change is in force everywhere, in seconds. */
    private static final int IN_FORCE_LIMIT_SECONDS = 15;

    /** Time between looks, in milliseconds. */
    private static final long LOOK_MILLIS = 5;

    /** Digits of the histogram. */
    private static final int DIGITS = 3;

    /** Daemons. */
    @Parameter(names = "--daemons", description = "Daemons, a tenth of them entries")
    private int daemons = 24;

    /** Failure domains. */
    @Parameter(names = "--domains", description = "Failure domains")
    private int domains = 3;

    /** Changes. */
    @Parameter(names = "--changes", description = "Changes, every third raced by another operator")
    private int changes = 20;

    /** Seed and form of the result. */
    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    /** Faults. */
    @Parameter(names = "--faults", description = "lose-answer, or all")
    private List<String> faults = new ArrayList<>();

    /** Agents. */
    private final List<LabAgent> agents = new ArrayList<>();

    /** Entries. */
    private final List<LabEntry> entries = new ArrayList<>();

    /** Watches for steps backwards. */
    private final RevertWatch watch = new RevertWatch();

    /** Times to in force, in milliseconds. */
    private final Histogram inForce = new Histogram(60_000, DIGITS);

    /** Changes by result. */
    private final Map<ApplyResult, Integer> results = new EnumMap<>(ApplyResult.class);

    /** Accepted changes that were not in force in time. */
    private int lost;

    @Override
    public String name() {
        return "config";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        try (LabPlatform platform = start()) {
            change(platform, 0);
            TimeUnit.SECONDS.sleep(2);
            long bytes = controlBytes();
            long cpu = controlCpuNanos();
            TimeUnit.SECONDS.sleep(IDLE_SECONDS);
            double idleBytes = (controlBytes() - bytes) / (double) IDLE_SECONDS / daemons;
            double idleCpu = (controlCpuNanos() - cpu) / 1e9 / IDLE_SECONDS / daemons;
            if (FaultNames.select(faults, FAULTS).contains("lose-answer")) {
                platform.tableFaults().setFaults(new FaultSettings(false, false, 0, 0.1, 0));
            }
            long start = System.nanoTime();
            long reads = platform.tableStandIn().reads();
            long writes = configWrites(platform);
            bytes = controlBytes();
            for (int i = 1; i <= changes; i++) {
                change(platform, i);
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            ConfigReport report =
                    new ConfigReport(
                            daemons,
                            count(ApplyResult.ACCEPTED),
                            count(ApplyResult.CONFLICT),
                            count(ApplyResult.UNKNOWN),
                            inForce.getValueAtPercentile(50) / 1000.0,
                            inForce.getValueAtPercentile(99) / 1000.0,
                            watch.reverts(),
                            lost,
                            (platform.tableStandIn().reads() - reads) / seconds,
                            (configWrites(platform) - writes) / seconds,
                            idleBytes,
                            idleCpu,
                            (controlBytes() - bytes) / seconds / daemons,
                            (runtime.totalMemory() - runtime.freeMemory()) / 1e3 / daemons);
            System.out.println(Json.pretty(report));
            System.exit(report.reverts() + lost > 0 ? 1 : 0);
            return 0;
        }
    }

    /**
     * Starts all daemons.
     *
     * @return platform
     * @throws IOException if an address cannot be used
     */
    private LabPlatform start() throws IOException {
        List<HostRecord> records = new ArrayList<>();
        int entryCount = Math.max(2, daemons / 10);
        for (int i = 0; i < daemons; i++) {
            records.add(record(i, i < entryCount));
        }
        LabPlatform platform = new LabPlatform(records, 1 << 20, common.seed());
        WeightSettings weights =
                new WeightSettings(
                        new SwarmPlannerFactory(
                                new SwarmPlannerSettings(
                                        DistributionPolicy.TIME, new RegionId("main"), 8, 2)),
                        1 << 20,
                        1 << 20,
                        1 << 20);
        for (HostRecord r : records) {
            if (r.role() == HostRole.ENTRY) {
                entries.add(new LabEntry(platform, r));
            } else {
                agents.add(
                        new LabAgent(
                                platform,
                                r,
                                new ServiceStandIn(1),
                                weights,
                                platform.originClient(),
                                t -> t));
            }
        }
        return platform;
    }

    /**
     * Makes a line of the host list.
     *
     * @param number number of the daemon
     * @param entry whether it is an entry
     * @return line
     */
    private HostRecord record(int number, boolean entry) {
        return new HostRecord(
                new HostId("host-" + number),
                new DomainId("domain-" + number % domains),
                new RegionId("main"),
                entry ? HostRole.ENTRY : HostRole.AGENT,
                entry ? "" : "orders",
                LoopbackAddresses.format(LoopbackAddresses.next()),
                HostState.LIVE);
    }

    /**
     * Makes a change, raced by another operator each third time, and waits until it is in force.
     *
     * @param platform platform
     * @param number number of the change
     * @throws InterruptedException if the thread is interrupted
     */
    private void change(LabPlatform platform, int number) throws InterruptedException {
        long start = System.nanoTime();
        ApplyResult result;
        if (number % 3 == 2) {
            ApplyResult[] other = new ApplyResult[1];
            Thread rival =
                    new Thread(() -> other[0] = platform.applyConfig(rows(1000 + number)), "rival");
            rival.start();
            result = platform.applyConfig(rows(number));
            rival.join();
            note(other[0]);
        } else {
            result = platform.applyConfig(rows(number));
        }
        note(result);
        long accepted = count(ApplyResult.ACCEPTED);
        long until = start + TimeUnit.SECONDS.toNanos(IN_FORCE_LIMIT_SECONDS);
        while (!everywhere(accepted)) {
            if (System.nanoTime() > until) {
                lost++;
                return;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
        }
        inForce.recordValue((System.nanoTime() - start) / 1_000_000);
    }

    /**
     * Tells whether every daemon has a version.
     *
     * @param version version
     * @return true if none is behind
     */
    private boolean everywhere(long version) {
        boolean all = true;
        for (LabAgent a : agents) {
            long now = a.heartbeat().getConfigVersion();
            watch.look(a, () -> now);
            all &= now >= version;
        }
        for (LabEntry e : entries) {
            long now = e.node().configuration().version().number();
            watch.look(e, () -> now);
            all &= now >= version;
        }
        return all;
    }

    /**
     * Counts a result.
     *
     * @param result result
     */
    private void note(ApplyResult result) {
        results.merge(result, 1, Integer::sum);
    }

    /**
     * Returns the changes with a result.
     *
     * @param result result
     * @return number of changes
     */
    private int count(ApplyResult result) {
        return results.getOrDefault(result, 0);
    }

    /**
     * Makes rows that differ from change to change.
     *
     * @param number number of the change
     * @return rows
     */
    private static List<FleetSpec> rows(int number) {
        return List.of(
                new FleetSpec(
                        new FleetId("orders"),
                        UpstreamKind.SERVICE,
                        "",
                        "",
                        "",
                        Digest.NONE,
                        Map.of(),
                        1 + number,
                        16,
                        1,
                        false,
                        List.of()));
    }

    /**
     * Sums the rows written for configurations.
     *
     * @param platform platform
     * @return rows since the start
     */
    private static long configWrites(LabPlatform platform) {
        return platform.tableStandIn().rowsWritten("config")
                + platform.tableStandIn().rowsWritten("audit");
    }

    /**
     * Sums the bytes of control messages.
     *
     * @return bytes since the start
     */
    private long controlBytes() {
        long sum = agents.stream().mapToLong(LabAgent::controlBytesSent).sum();
        return sum + entries.stream().mapToLong(e -> e.node().controlBytesSent()).sum();
    }

    /**
     * Sums the processor time of control and weights threads and of the event loops.
     *
     * @return nanoseconds
     */
    private static long controlCpuNanos() {
        return ThreadCpuTime.cpuNanos("control-", "weights-", "multiThread");
    }
}
