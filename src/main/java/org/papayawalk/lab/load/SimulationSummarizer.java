package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Sums up the requests of a simulation. Not thread-safe. */
final class SimulationSummarizer {
    /** Longest time that the histogram can hold, in milliseconds. */
    private static final long LONGEST_MILLIS = 60_000;

    /** Digits of the histogram. */
    private static final int DIGITS = 3;

    /** Parts into which requests are divided by their size. */
    private static final int SIZES = 5;

    /** Attempts of a request that came back. */
    private static final int SECOND_ATTEMPT = 2;

    /** Plan of the simulation. */
    private final LoadScenario plan;

    /** Requests. */
    private final List<SimulatedRequest> calls;

    /**
     * Creates a tally.
     *
     * @param plan plan of the simulation
     * @param calls requests
     */
    SimulationSummarizer(LoadScenario plan, List<SimulatedRequest> calls) {
        this.plan = plan;
        this.calls = calls;
    }

    /**
     * Sums up.
     *
     * @param policy way of placing and refusing
     * @param seed seed of chance
     * @return report
     */
    SimulationReport report(String policy, long seed) {
        Histogram first = new Histogram(LONGEST_MILLIS, DIGITS);
        calls.stream()
                .filter(SimulatedRequest::answered)
                .forEach(c -> first.recordValue(c.firstAfter().toMillis()));
        return new SimulationReport(
                policy,
                seed,
                calls.size(),
                share(SimulatedRequest::inTime),
                share(c -> c.answered() && !c.inTime()),
                share(c -> !c.answered()),
                share(c -> !c.answered() && c.attempts() >= SECOND_ATTEMPT),
                worth(calls),
                bound(),
                first.getValueAtPercentile(50),
                first.getValueAtPercentile(99),
                byClass(),
                bySize());
    }

    /**
     * Returns a share of the requests.
     *
     * @param which condition
     * @return 0 to 1
     */
    private double share(Predicate<SimulatedRequest> which) {
        return calls.stream().filter(which).count() / (double) Math.max(1, calls.size());
    }

    /**
     * Returns the worth reached by some requests.
     *
     * @param some requests
     * @return share of their full worth
     */
    private double worth(List<SimulatedRequest> some) {
        double reached = 0;
        for (SimulatedRequest c : some) {
            RequestClass k = c.kind();
            double each = c.inTime() ? k.worth() : c.answered() ? k.lateWorth() : 0;
            reached += each * factor(c);
        }
        return reached / some.stream().mapToDouble(this::full).sum();
    }

    /**
     * Returns the worth by kind of request.
     *
     * @return shares
     */
    private Map<String, Double> byClass() {
        Map<String, Double> shares = new LinkedHashMap<>();
        calls.stream()
                .collect(Collectors.groupingBy(c -> c.kind().name()))
                .forEach((name, some) -> shares.put(name, worth(some)));
        return shares;
    }

    /**
     * Returns the worth by size of request.
     *
     * @return shares, the smallest requests first
     */
    private Map<String, Double> bySize() {
        List<SimulatedRequest> sorted = new ArrayList<>(calls);
        sorted.sort(Comparator.comparingDouble(this::cost));
        Map<String, Double> shares = new LinkedHashMap<>();
        for (int i = 0; i < SIZES; i++) {
            List<SimulatedRequest> part =
                    sorted.subList(sorted.size() * i / SIZES, sorted.size() * (i + 1) / SIZES);
            shares.put("fifth-" + (i + 1), worth(part));
        }
        return shares;
    }

    /**
     * Returns the most worth that the engines could have reached, all knowing and never idle.
     *
     * @return share of the full worth
     */
    private double bound() {
        List<SimulatedRequest> best = new ArrayList<>(calls);
        best.sort(Comparator.comparingDouble(c -> -full(c) / cost(c)));
        double left = plan.engines() * (double) plan.length().toMillis();
        double reached = 0;
        for (SimulatedRequest c : best) {
            double part = Math.min(1, left / cost(c));
            reached += part * full(c);
            left -= part * cost(c);
            if (left <= 0) {
                break;
            }
        }
        return reached / calls.stream().mapToDouble(this::full).sum();
    }

    /**
     * Returns the time of an engine that a request takes while the engine is full.
     *
     * @param call request
     * @return milliseconds
     */
    private double cost(SimulatedRequest call) {
        EngineProfile t = plan.engineTimes();
        double pass = t.stepsPerPass() * (t.stepMillis() + t.sequenceMillis() * t.slots());
        return call.events() * pass / t.slots() + call.promptTokens() / t.promptTokensPerMilli();
    }

    /**
     * Returns the full worth of a request.
     *
     * @param call request
     * @return worth
     */
    private double full(SimulatedRequest call) {
        return call.kind().worth() * factor(call);
    }

    /**
     * Returns what a request is worth relative to one of mean size.
     *
     * @param call request
     * @return factor
     */
    private double factor(SimulatedRequest call) {
        int tokens = plan.engineTimes().stepsPerPass();
        return call.kind().sizeFactor(call.promptTokens(), call.events() * tokens, tokens);
    }
}
