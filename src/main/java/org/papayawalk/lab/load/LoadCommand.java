package org.papayawalk.lab.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.adapter.Json;
import org.papayawalk.lab.LabCommand;

/** Compares ways of placing and refusing under a demand beyond what the engines can serve. */
@Parameters(commandDescription = "Simulate load on model engines and compare policies")
public final class LoadCommand implements LabCommand {
    /** Stands for all policies. */
    private static final String ALL = "all";

    /** Entries. */
    @Parameter(names = "--entries", description = "Entries, each with its own view")
    private int entries = 7;

    /** Engines. */
    @Parameter(names = "--engines", description = "Model engines")
    private int engines = 16;

    /** Demand. */
    @Parameter(names = "--per-engine", description = "Requests a second for each engine")
    private double perEngine = 10;

    /** Burst. */
    @Parameter(names = "--burst", description = "Factor of the middle third of the time")
    private double burst = 1.5;

    /** Length. */
    @Parameter(names = "--seconds", description = "Time for which requests come")
    private int seconds = 30;

    /** Outage. */
    @Parameter(names = "--outage-share", description = "Share of engines closed for 4 s at a half")
    private double outageShare;

    /** Impatient callers. */
    @Parameter(names = "--impatient", description = "Share of callers that come back at once")
    private double impatient = 0.15;

    /** Unevenness. */
    @Parameter(names = "--uneven", description = "1: all entries get the same; 1.5: some get more")
    private double unevenness = 1;

    /** Policies. */
    @Parameter(names = "--policy", description = "Policies to compare, or all")
    private List<String> policies = new ArrayList<>(List.of("product"));

    /** Seed. */
    @Parameter(names = "--seed", description = "Seed of the first run")
    private long seed = 1;

    /** Runs. */
    @Parameter(names = "--runs", description = "Runs of each policy, each with the next seed")
    private int runs = 1;

    /** JSON. */
    @Parameter(names = "--json", description = "Print JSON in place of a table")
    private boolean json;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public int run() throws IOException {
        List<SimulationReport> reports = new ArrayList<>();
        for (LoadPolicy p : chosen()) {
            for (long s = seed; s < seed + runs; s++) {
                reports.add(new LoadSimulation(plan(), p, s).run());
            }
        }
        System.out.println(json ? Json.pretty(reports) : SimulationReportTable.text(reports));
        return 0;
    }

    /**
     * Makes the plan.
     *
     * @return plan
     */
    private LoadScenario plan() {
        Duration length = Duration.ofSeconds(seconds);
        List<LoadScenario.Outage> outages =
                outageShare > 0
                        ? List.of(
                                new LoadScenario.Outage(
                                        length.dividedBy(2), Duration.ofSeconds(4), outageShare))
                        : List.of();
        return new LoadScenario(
                entries,
                engines,
                EngineProfile.USERS,
                RequestClass.USERS,
                perEngine * engines,
                burst,
                length,
                outages,
                impatient,
                unevenness);
    }

    /**
     * Returns the policies to compare.
     *
     * @return policies
     * @throws ParameterException if a name is not known
     */
    private List<LoadPolicy> chosen() {
        if (policies.contains(ALL)) {
            return LoadPolicy.ALL;
        }
        List<LoadPolicy> list = new ArrayList<>();
        for (String name : policies) {
            list.add(
                    LoadPolicy.ALL.stream()
                            .filter(p -> p.name().equals(name))
                            .findFirst()
                            .orElseThrow(() -> unknown(name)));
        }
        return list;
    }

    /**
     * Reports a policy that is not known.
     *
     * @param name name given
     * @return error
     */
    private static ParameterException unknown(String name) {
        List<String> known = LoadPolicy.ALL.stream().map(LoadPolicy::name).toList();
        return new ParameterException(
                "policy \"%s\" is unknown; known are %s, and all"
                        .formatted(name, String.join(", ", known)));
    }
}
