package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Writes reports as a table, a line for each policy. Holds no state; safe from any thread. */
final class LoadTable {
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
    private LoadTable() {}

    /**
     * Writes the table.
     *
     * @param reports reports
     * @return text
     */
    static String text(List<LoadReport> reports) {
        Map<String, List<LoadReport>> byPolicy = new LinkedHashMap<>();
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
    private static String line(String name, List<LoadReport> some) {
        double least = some.stream().mapToDouble(LoadReport::worth).min().orElse(0);
        double most = some.stream().mapToDouble(LoadReport::worth).max().orElse(0);
        return LINE.formatted(
                name,
                some.size(),
                mean(some, LoadReport::asked),
                mean(some, LoadReport::inTime),
                mean(some, LoadReport::late),
                mean(some, LoadReport::refusedShare),
                mean(some, LoadReport::refusedTwice),
                mean(some, LoadReport::worth),
                most - least,
                mean(some, LoadReport::bound),
                mean(some, LoadReport::firstP50),
                mean(some, LoadReport::firstP99));
    }

    /**
     * Returns the mean of a figure.
     *
     * @param some reports
     * @param figure figure
     * @return mean
     */
    private static double mean(List<LoadReport> some, ToDoubleFunction<LoadReport> figure) {
        return some.stream().mapToDouble(figure).average().orElse(0);
    }
}
