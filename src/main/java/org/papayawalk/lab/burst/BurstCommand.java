package org.papayawalk.lab.burst;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import org.papayawalk.adapter.Json;
import org.papayawalk.core.weight.DistributionPolicy;
import org.papayawalk.lab.ExperimentOptions;
import org.papayawalk.lab.FaultNames;
import org.papayawalk.lab.LabCommand;

/** Measures how a version spreads. */
@Parameters(commandDescription = "Measure how a version spreads over paced links")
public final class BurstCommand implements LabCommand {
    /** Faults that can be caused. */
    private static final List<String> FAULTS = List.of("kill", "corrupt", "stall", "platform-away");

    /** Hosts. */
    @Parameter(names = "--hosts", description = "Hosts that get the version")
    private int hosts = 14;

    /** Failure domains. */
    @Parameter(names = "--domains", description = "Failure domains")
    private int domains = 3;

    /** Regions. */
    @Parameter(names = "--regions", description = "Regions")
    private int regions = 1;

    /** Strategy. */
    @Parameter(names = "--strategy", description = "swarm, origin, chain, tree or random")
    private String strategy = "swarm";

    /** Policy. */
    @Parameter(names = "--policy", description = "time or bytes")
    private String policy = "time";

    /** Seed and form of the result. */
    @ParametersDelegate private final ExperimentOptions common = new ExperimentOptions();

    /** Size. */
    @Parameter(names = "--size-bytes", description = "Length of the weights")
    private long sizeBytes = 16L << 20;

    /** Chunk. */
    @Parameter(names = "--chunk-bytes", description = "Length of a chunk")
    private int chunkBytes = 64 << 10;

    /** Window. */
    @Parameter(
            names = "--window-seconds",
            description = "Time in which the origin carries 4 copies and a host 2")
    private double windowSeconds = 16;

    /** Rate of requests. */
    @Parameter(names = "--rate", description = "Live requests a second")
    private double rate = 40;

    /** Wave. */
    @Parameter(names = "--max-unavailable", description = "Hosts of a domain that switch at once")
    private int maxUnavailable = 4;

    /** Faults. */
    @Parameter(names = "--faults", description = "kill, corrupt, stall, platform-away, or all")
    private List<String> faults = new ArrayList<>();

    /** Limit. */
    @Parameter(names = "--limit-seconds", description = "Longest wait for all hosts")
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
        System.out.println(Json.pretty(report));
        System.exit(report.timeSeconds() < 0 || report.partialOrMixed() > 0 ? 1 : 0);
        return 0;
    }
}
