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
import org.papayawalk.adapter.standalone.ApplyResult;
import org.papayawalk.adapter.standalone.Json;
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
import org.papayawalk.daemon.swarm.WeightSettings;
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

/**
 * Measures how long a change of the configuration takes until all daemons have it in force, and the
 * cost of control traffic per daemon. Runs all daemons in this process. Confined to one thread.
 */
@Parameters(commandDescription = "Measure configuration changes and the cost of control traffic")
public final class ConfigCommand implements LabCommand {
    private static final List<String> FAULTS = List.of("lose-answer");

    private static final int IDLE_SECONDS = 6;

    private static final int IN_FORCE_TIMEOUT_SECONDS = 15;

    private static final long POLL_INTERVAL_MILLIS = 5;

    private static final int HISTOGRAM_DIGITS = 3;

    @Parameter(
            names = "--daemons",
            description = "Number of daemons; a tenth of them, at least 2, are entries")
    private int daemons = 24;

    @Parameter(names = "--domains", description = "Number of failure domains")
    private int domains = 3;

    @Parameter(
            names = "--changes",
            description = "Number of changes; every third competes with another operator's")
    private int changes = 20;

    @ParametersDelegate private final ExperimentOptions options = new ExperimentOptions();

    @Parameter(names = "--faults", description = "lose-answer, or all")
    private List<String> faults = new ArrayList<>();

    private final List<LabAgent> agents = new ArrayList<>();

    private final List<LabEntry> entries = new ArrayList<>();

    private final VersionRevertCounter revertCounter = new VersionRevertCounter();

    // Time from submitting a change until all daemons have it in force, in milliseconds.
    private final Histogram inForceMillis = new Histogram(60_000, HISTOGRAM_DIGITS);

    private final Map<ApplyResult, Integer> results = new EnumMap<>(ApplyResult.class);

    // Changes that some daemon did not have in force within the timeout.
    private int timedOutChanges;

    @Override
    public String name() {
        return "config";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        try (LabPlatform platform = startCluster()) {
            applyChange(platform, 0);
            TimeUnit.SECONDS.sleep(2);
            long bytes = controlBytesSent();
            long cpu = controlCpuNanos();
            TimeUnit.SECONDS.sleep(IDLE_SECONDS);
            double idleBytes = (controlBytesSent() - bytes) / (double) IDLE_SECONDS / daemons;
            double idleCpu = (controlCpuNanos() - cpu) / 1e9 / IDLE_SECONDS / daemons;
            if (FaultNames.select(faults, FAULTS).contains("lose-answer")) {
                platform.tableFaults().setFaults(new FaultSettings(false, false, 0, 0.1, 0));
            }
            long start = System.nanoTime();
            long reads = platform.tableStandIn().reads();
            long writes = configRowsWritten(platform);
            bytes = controlBytesSent();
            for (int i = 1; i <= changes; i++) {
                applyChange(platform, i);
            }
            double seconds = (System.nanoTime() - start) / 1e9;
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            ConfigReport report =
                    new ConfigReport(
                            daemons,
                            resultCount(ApplyResult.ACCEPTED),
                            resultCount(ApplyResult.CONFLICT),
                            resultCount(ApplyResult.UNKNOWN),
                            inForceMillis.getValueAtPercentile(50) / 1000.0,
                            inForceMillis.getValueAtPercentile(99) / 1000.0,
                            revertCounter.reverts(),
                            timedOutChanges,
                            (platform.tableStandIn().reads() - reads) / seconds,
                            (configRowsWritten(platform) - writes) / seconds,
                            idleBytes,
                            idleCpu,
                            (controlBytesSent() - bytes) / seconds / daemons,
                            (runtime.totalMemory() - runtime.freeMemory()) / 1e3 / daemons);
            System.out.println(Json.writePretty(report));
            System.exit(report.reverts() + timedOutChanges > 0 ? 1 : 0);
            return 0;
        }
    }

    private LabPlatform startCluster() throws IOException {
        List<HostRecord> records = new ArrayList<>();
        int entryCount = Math.max(2, daemons / 10);
        for (int i = 0; i < daemons; i++) {
            records.add(hostRecord(i, i < entryCount));
        }
        LabPlatform platform = new LabPlatform(records, 1 << 20, options.seed());
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

    private HostRecord hostRecord(int number, boolean entry) {
        return new HostRecord(
                new HostId("host-" + number),
                new DomainId("domain-" + number % domains),
                new RegionId("main"),
                entry ? HostRole.ENTRY : HostRole.AGENT,
                entry ? "" : "orders",
                LoopbackAddresses.format(LoopbackAddresses.next()),
                HostState.LIVE);
    }

    // Submits a change, every third time concurrently with one of another operator, and waits until
    // all daemons have the accepted one in force.
    private void applyChange(LabPlatform platform, int number) throws InterruptedException {
        long start = System.nanoTime();
        ApplyResult result;
        if (number % 3 == 2) {
            ApplyResult[] competing = new ApplyResult[1];
            Thread rival =
                    new Thread(
                            () -> competing[0] = platform.applyConfig(sheetRows(1000 + number)),
                            "rival");
            rival.start();
            result = platform.applyConfig(sheetRows(number));
            rival.join();
            countResult(competing[0]);
        } else {
            result = platform.applyConfig(sheetRows(number));
        }
        countResult(result);
        // Versions are consecutive, so the count of accepted changes is the version to wait for.
        long accepted = resultCount(ApplyResult.ACCEPTED);
        long deadline = start + TimeUnit.SECONDS.toNanos(IN_FORCE_TIMEOUT_SECONDS);
        while (!isInForceEverywhere(accepted)) {
            if (System.nanoTime() > deadline) {
                timedOutChanges++;
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        inForceMillis.recordValue((System.nanoTime() - start) / 1_000_000);
    }

    // Does not stop at the first daemon that is behind: the revert counter observes all of them.
    private boolean isInForceEverywhere(long version) {
        boolean all = true;
        for (LabAgent a : agents) {
            long current = a.heartbeat().getConfigVersion();
            revertCounter.observe(a, () -> current);
            all &= current >= version;
        }
        for (LabEntry e : entries) {
            long current = e.node().configuration().version().number();
            revertCounter.observe(e, () -> current);
            all &= current >= version;
        }
        return all;
    }

    private void countResult(ApplyResult result) {
        results.merge(result, 1, Integer::sum);
    }

    private int resultCount(ApplyResult result) {
        return results.getOrDefault(result, 0);
    }

    // Changes with different numbers differ in the fleet's limit of requests in flight.
    private static List<FleetSpec> sheetRows(int number) {
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

    // Rows of configurations and of the audit trail, since the start of the table service.
    private static long configRowsWritten(LabPlatform platform) {
        return platform.tableStandIn().rowsWritten("config")
                + platform.tableStandIn().rowsWritten("audit");
    }

    // Bytes of control messages that all daemons have sent since their start.
    private long controlBytesSent() {
        long sum = agents.stream().mapToLong(LabAgent::controlBytesSent).sum();
        return sum + entries.stream().mapToLong(e -> e.node().controlBytesSent()).sum();
    }

    // Processor time of the control threads, the weights threads and the event loops.
    private static long controlCpuNanos() {
        return ThreadCpuTime.cpuNanos("control-", "weights-", "multiThread");
    }
}
