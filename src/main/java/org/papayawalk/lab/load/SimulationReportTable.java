package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Formats reports as a table with one row for each policy. Stateless and thread-safe. */
final class SimulationReportTable {
    private static final String HEADER =
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

    private static final String ROW_FORMAT =
            "%-14s %5d %7.0f %7.3f %7.3f %7.3f %7.3f %6.3f (%6.3f) %7.3f %6.0f %6.0f";

    private SimulationReportTable() {}

    /**
     * Formats a table of the means over the runs of each policy.
     *
     * @param reports reports
     * @return header and rows, separated by newlines
     */
    static String format(List<SimulationReport> reports) {
        Map<String, List<SimulationReport>> byPolicy = new LinkedHashMap<>();
        reports.forEach(r -> byPolicy.computeIfAbsent(r.policy(), p -> new ArrayList<>()).add(r));
        StringBuilder text = new StringBuilder(HEADER);
        byPolicy.forEach((name, group) -> text.append('\n').append(row(name, group)));
        return text.toString();
    }

    private static String row(String name, List<SimulationReport> group) {
        double min = group.stream().mapToDouble(SimulationReport::worth).min().orElse(0);
        double max = group.stream().mapToDouble(SimulationReport::worth).max().orElse(0);
        return ROW_FORMAT.formatted(
                name,
                group.size(),
                mean(group, SimulationReport::asked),
                mean(group, SimulationReport::inTime),
                mean(group, SimulationReport::late),
                mean(group, SimulationReport::refusedShare),
                mean(group, SimulationReport::refusedTwice),
                mean(group, SimulationReport::worth),
                max - min,
                mean(group, SimulationReport::bound),
                mean(group, SimulationReport::firstP50),
                mean(group, SimulationReport::firstP99));
    }

    private static double mean(
            List<SimulationReport> group, ToDoubleFunction<SimulationReport> figure) {
        return group.stream().mapToDouble(figure).average().orElse(0);
    }
}
