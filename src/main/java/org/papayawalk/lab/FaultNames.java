package org.papayawalk.lab;

import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;

/**
 * Resolves the names of faults that an experiment injects, as given on the command line. Stateless;
 * thread-safe.
 */
public final class FaultNames {
    private static final String ALL = "all";

    private FaultNames() {}

    /**
     * Selects the faults to inject.
     *
     * @param given names from the command line; {@code all} stands for every known fault
     * @param known names of the faults that the experiment supports
     * @return names without duplicates, in the order of their first selection; empty if none is
     *     given
     * @throws ParameterException if a name is unknown. Ignoring it would let a run pass without the
     *     fault that it was to test.
     */
    public static List<String> select(List<String> given, List<String> known) {
        List<String> selected = new ArrayList<>();
        for (String name : given) {
            if (name.equals(ALL)) {
                selected.addAll(known);
            } else if (known.contains(name)) {
                selected.add(name);
            } else {
                String text = "unknown fault \"%s\"; expected one of %s, or %s for all of them";
                throw new ParameterException(text.formatted(name, String.join(", ", known), ALL));
            }
        }
        return selected.stream().distinct().toList();
    }
}
