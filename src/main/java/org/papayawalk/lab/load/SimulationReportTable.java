package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Writes reports as a table, a line for each policy. Holds no state; safe from any thread. */
final class SimulationReportTable {
    /** Head of the table. */
    private static final String HEAD =
            "%-14s %5s %7s %7s %7s %7s %7s %15s %7s %6s %6s"
                    .formatted(
                            "policy",
                            "runs",
                            "asked",
                            "in time",
                            "late",
                            "refused",
                            "twice",
                            "worth (spread)",
                            "bound",
                            "p50",
                            "p99");

    /** Line of the table. */
    private static final String LINE =
            "%-14s %5d %7.0f %7.3f %7.3f %7.3f %7.3f %6.3f (%6.3f) %7.3f %6.0f %6.0f";

    /** Prevents instances. */
    private SimulationReportTable() {}

    /**
     * Writes the table.
     *
     * @param reports reports
     * @return text
     */
    static String text(List<SimulationReport> reports) {
        Map<String, List<SimulationReport>> byPolicy = new LinkedHashMap<>();
        reports.forEach(r -> byPolicy.computeIfAbsent(r.policy(), p -> new ArrayList<>()).add(r));
        StringBuilder text = new StringBuilder(HEAD);
        byPolicy.forEach((name, some) -> text.append('\n').append(line(name, some)));
        return text.toString();
    }

    /**
     * Writes a line.
     *
     * @param name name of the policy
     * @param some reports of its runs
     * @return line
     */
    private static String line(String name, List<SimulationReport> some) {
        double least = some.stream().mapToDouble(SimulationReport::worth).min().orElse(0);
        double most = some.stream().mapToDouble(SimulationReport::worth).max().orElse(0);
        return LINE.formatted(
                name,
                some.size(),
                mean(some, SimulationReport::asked),
                mean(some, SimulationReport::inTime),
                mean(some, SimulationReport::late),
                mean(some, SimulationReport::refusedShare),
                mean(some, SimulationReport::refusedTwice),
                mean(some, SimulationReport::worth),
                most - least,
                mean(some, SimulationReport::bound),
                mean(some, SimulationReport::firstP50),
                mean(some, SimulationReport::firstP99));
    }

    /**
     * Returns the mean of a figure.
     *
     * @param some reports
     * @param figure figure
     * @return mean
     */
    private static double mean(
            List<SimulationReport> some, ToDoubleFunction<SimulationReport> figure) {
        return some.stream().mapToDouble(figure).average().orElse(0);
    }
}
