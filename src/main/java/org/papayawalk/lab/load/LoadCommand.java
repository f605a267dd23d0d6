package org.papayawalk.lab.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.adapter.standalone.Json;
import org.papayawalk.lab.LabCommand;

/** Compares load policies under a demand that exceeds the capacity of the engines. */
@Parameters(commandDescription = "Simulate load on model engines and compare policies")
public final class LoadCommand implements LabCommand {
    /** Value of {@code --policy} that selects every policy. */
    private static final String ALL = "all";

    @Parameter(
            names = "--entries",
            description = "Number of entries, each with its own view of the load")
    private int entries = 7;

    @Parameter(names = "--engines", description = "Number of model engines")
    private int engines = 16;

    @Parameter(names = "--per-engine", description = "Requests per second for each engine")
    private double requestsPerEngine = 10;

    @Parameter(
            names = "--burst",
            description = "Factor of the demand in the middle third of the time")
    private double burstFactor = 1.5;

    @Parameter(
            names = "--seconds",
            description = "Time during which new requests arrive, in seconds")
    private int seconds = 30;

    @Parameter(
            names = "--outage-share",
            description = "Share of engines with a 4 s outage at half of the time")
    private double outageShare;

    @Parameter(names = "--impatient", description = "Share of callers that retry at once")
    private double impatientShare = 0.15;

    @Parameter(
            names = "--uneven",
            description = "Skew of requests over entries; 1 for none, 1.5 for a marked one")
    private double entrySkew = 1;

    @Parameter(
            names = "--slow-engines",
            description = "Slower engines, with the classes of request that are sent to them")
    private boolean slowEngines;

    @Parameter(
            names = "--few-slots",
            description = "Engines with 8 slots, with the classes of request that are sent to them")
    private boolean fewSlots;

    @Parameter(names = "--policy", description = "Names of policies to compare, or all")
    private List<String> policies = new ArrayList<>(List.of("product"));

    @Parameter(names = "--seed", description = "Seed of the first run; the next run adds 1")
    private long seed = 1;

    @Parameter(names = "--runs", description = "Number of runs of each policy")
    private int runs = 1;

    @Parameter(names = "--json", description = "Print JSON in place of a table")
    private boolean json;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public int run() throws IOException {
        List<SimulationReport> reports = new ArrayList<>();
        for (LoadPolicy p : selectedPolicies()) {
            for (long s = seed; s < seed + runs; s++) {
                reports.add(new LoadSimulation(scenario(), p, s).run());
            }
        }
        System.out.println(
                json ? Json.writePretty(reports) : SimulationReportTable.format(reports));
        return 0;
    }

    private LoadScenario scenario() {
        Duration duration = Duration.ofSeconds(seconds);
        List<LoadScenario.Outage> outages =
                outageShare > 0
                        ? List.of(
                                new LoadScenario.Outage(
                                        duration.dividedBy(2), Duration.ofSeconds(4), outageShare))
                        : List.of();
        return new LoadScenario(
                entries,
                engines,
                engineProfile(),
                requestClasses(),
                requestsPerEngine * engines,
                burstFactor,
                duration,
                outages,
                impatientShare,
                entrySkew);
    }

    private EngineProfile engineProfile() {
        if (fewSlots) {
            return EngineProfile.FEW_SLOTS;
        }
        return slowEngines ? EngineProfile.SLOW : EngineProfile.PRODUCTION;
    }

    private List<RequestClass> requestClasses() {
        if (fewSlots) {
            return RequestClass.SHORT_ANSWERS;
        }
        return slowEngines ? RequestClass.LONGER_TARGETS : RequestClass.PRODUCTION;
    }

    private List<LoadPolicy> selectedPolicies() {
        if (policies.contains(ALL)) {
            return LoadPolicy.ALL;
        }
        List<LoadPolicy> list = new ArrayList<>();
        for (String name : policies) {
            list.add(
                    LoadPolicy.ALL.stream()
                            .filter(p -> p.name().equals(name))
                            .findFirst()
                            .orElseThrow(() -> unknownPolicy(name)));
        }
        return list;
    }

    private static ParameterException unknownPolicy(String name) {
        List<String> known = LoadPolicy.ALL.stream().map(LoadPolicy::name).toList();
        return new ParameterException(
                "unknown policy \"%s\" for --policy; expected one of %s, or all"
                        .formatted(name, String.join(", ", known)));
    }
}
