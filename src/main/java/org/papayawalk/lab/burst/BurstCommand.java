package org.papayawalk.lab.burst;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.lab.ExperimentOptions;
import org.papayawalk.lab.FaultNames;
import org.papayawalk.lab.LabCommand;

/** Measures how fast a version spreads over paced links. */
@Parameters(commandDescription = "Measure how a version spreads over paced links")
public final class BurstCommand implements LabCommand {
    /** Faults that can be injected. */
    private static final List<String> FAULTS = List.of("kill", "corrupt", "stall", "platform-away");

    @Parameter(names = "--hosts", description = "Number of hosts that receive the version")
    private int hosts = 14;

    @Parameter(names = "--domains", description = "Number of failure domains")
    private int domains = 3;

    @Parameter(names = "--regions", description = "Regions")
    private int regions = 1;

    @Parameter(names = "--strategy", description = "swarm, origin, chain, tree or random")
    private String strategy = "swarm";

    @Parameter(names = "--policy", description = "Policy of the swarm: time or bytes")
    private String policy = "time";

    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    @Parameter(names = "--size-bytes", description = "Size of the weights")
    private long sizeBytes = 16L << 20;

    @Parameter(names = "--chunk-bytes", description = "Size of a chunk")
    private int chunkBytes = 64 << 10;

    @Parameter(
            names = "--window-seconds",
            description = "Time in which the origin's link carries 4 copies and a host's 2")
    private double windowSeconds = 16;

    @Parameter(names = "--rate", description = "Live requests per second")
    private double rate = 40;

    @Parameter(
            names = "--max-unavailable",
            description = "Maximum number of hosts of a domain that switch at once")
    private int maxUnavailable = 4;

    @Parameter(names = "--faults", description = "kill, corrupt, stall, platform-away, or all")
    private List<String> faults = new ArrayList<>();

    @Parameter(names = "--limit-seconds", description = "Longest time to wait for all hosts")
    private int limitSeconds = 120;

    @Override
    public String name() {
        return "burst";
    }

    @Override
    public int run() throws IOException, InterruptedException {
        BurstSettings settings =
                new BurstSettings(
                        hosts,
                        domains,
                        regions,
                        Strategy.valueOf(strategy.toUpperCase(Locale.ROOT)),
                        DistributionPolicy.valueOf(policy.toUpperCase(Locale.ROOT)),
                        common.seed(),
                        sizeBytes,
                        chunkBytes,
                        windowSeconds,
                        rate,
                        maxUnavailable,
                        new HashSet<>(FaultNames.select(faults, FAULTS)),
                        limitSeconds);
        BurstReport report = new BurstExperiment(settings).run();
        System.out.println(Json.writePretty(report));
        System.exit(report.timeSeconds() < 0 || report.partialOrMixed() > 0 ? 1 : 0);
        return 0;
    }
}
