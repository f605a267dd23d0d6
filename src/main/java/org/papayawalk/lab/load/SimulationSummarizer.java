package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Computes the report of a simulation from its requests. Not thread-safe. */
final class SimulationSummarizer {
    /** Longest time that the histogram can hold, in milliseconds. */
    private static final long MAX_RECORDED_MILLIS = 60_000;

    private static final int SIGNIFICANT_DIGITS = 3;

    /** Number of groups of equal count into which requests are divided by their size. */
    private static final int SIZE_GROUPS = 5;

    /** Number of attempts of a request that was retried. */
    private static final int SECOND_ATTEMPT = 2;

    private final LoadScenario scenario;

    private final List<SimulatedRequest> requests;

    /**
     * Creates a summarizer.
     *
     * @param scenario scenario of the simulation
     * @param requests all requests of the simulation
     */
    SimulationSummarizer(LoadScenario scenario, List<SimulatedRequest> requests) {
        this.scenario = scenario;
        this.requests = requests;
    }

    /**
     * Computes the report.
     *
     * @param policy name of the policy
     * @param seed seed of the random generators
     * @return report
     */
    SimulationReport summarize(String policy, long seed) {
        Histogram timesToFirstEvent = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
        requests.stream()
                .filter(SimulatedRequest::answered)
                .forEach(r -> timesToFirstEvent.recordValue(r.timeToFirstEvent().toMillis()));
        return new SimulationReport(
                policy,
                seed,
                requests.size(),
                share(SimulatedRequest::inTime),
                share(r -> r.answered() && !r.inTime()),
                share(r -> !r.answered()),
                share(r -> !r.answered() && r.attempts() >= SECOND_ATTEMPT),
                worthShare(requests),
                maxWorthShare(),
                timesToFirstEvent.getValueAtPercentile(50),
                timesToFirstEvent.getValueAtPercentile(99),
                worthByClass(),
                worthBySize());
    }

    private double share(Predicate<SimulatedRequest> condition) {
        return requests.stream().filter(condition).count() / (double) Math.max(1, requests.size());
    }

    // Returns the worth of the answers to some requests, as a share of the full worth of these.
    private double worthShare(List<SimulatedRequest> subset) {
        double reached = 0;
        for (SimulatedRequest r : subset) {
            RequestClass requestClass = r.requestClass();
            double worth =
                    r.inTime() ? requestClass.worth() : r.answered() ? requestClass.lateWorth() : 0;
            reached += worth * sizeFactor(r);
        }
        return reached / subset.stream().mapToDouble(this::fullWorth).sum();
    }

    private Map<String, Double> worthByClass() {
        Map<String, Double> shares = new LinkedHashMap<>();
        requests.stream()
                .collect(Collectors.groupingBy(r -> r.requestClass().name()))
                .forEach((name, subset) -> shares.put(name, worthShare(subset)));
        return shares;
    }

    // Returns the share of the worth by size group, smallest requests first.
    private Map<String, Double> worthBySize() {
        List<SimulatedRequest> sorted = new ArrayList<>(requests);
        sorted.sort(Comparator.comparingDouble(this::engineMillis));
        Map<String, Double> shares = new LinkedHashMap<>();
        for (int i = 0; i < SIZE_GROUPS; i++) {
            List<SimulatedRequest> group =
                    sorted.subList(
                            sorted.size() * i / SIZE_GROUPS, sorted.size() * (i + 1) / SIZE_GROUPS);
            shares.put("fifth-" + (i + 1), worthShare(group));
        }
        return shares;
    }

    // Returns an upper bound of the share of the worth: the engines are always fully used and
    // answer the requests with the most worth for their engine time first.
    private double maxWorthShare() {
        List<SimulatedRequest> byWorthRate = new ArrayList<>(requests);
        byWorthRate.sort(Comparator.comparingDouble(r -> -fullWorth(r) / engineMillis(r)));
        double remainingMillis = scenario.engines() * (double) scenario.duration().toMillis();
        double reached = 0;
        for (SimulatedRequest r : byWorthRate) {
            double share = Math.min(1, remainingMillis / engineMillis(r));
            reached += share * fullWorth(r);
            remainingMillis -= share * engineMillis(r);
            if (remainingMillis <= 0) {
                break;
            }
        }
        return reached / requests.stream().mapToDouble(this::fullWorth).sum();
    }

    // Returns the engine time that a request needs at a full engine, in milliseconds.
    private double engineMillis(SimulatedRequest request) {
        EngineProfile profile = scenario.engineProfile();
        double passMillis =
                profile.stepsPerPass()
                        * (profile.stepMillis()
                                + profile.stepMillisPerSequence() * profile.slots());
        return request.events() * passMillis / profile.slots()
                + request.promptTokens() / profile.promptTokensPerMilli();
    }

    // Returns the worth of an answer that is in time.
    private double fullWorth(SimulatedRequest request) {
        return request.requestClass().worth() * sizeFactor(request);
    }

    // Returns the worth of an answer relative to one of mean size.
    private double sizeFactor(SimulatedRequest request) {
        int tokensPerEvent = scenario.engineProfile().stepsPerPass();
        return request.requestClass()
                .sizeFactor(
                        request.promptTokens(), request.events() * tokensPerEvent, tokensPerEvent);
    }
}
