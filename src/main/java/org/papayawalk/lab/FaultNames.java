package org.papayawalk.lab;

import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.List;

/** Checks the faults that an experiment is asked to cause. Holds no state; safe from any thread. */
public final class FaultNames {
    /** Stands for all faults of an experiment. */
    private static final String ALL = "all";

    /** Prevents instances. */
    private FaultNames() {}

    /**
     * Selects faults.
     *
     * @param given names on the command line
     * @param known faults of the experiment
     * @return faults to cause
     * @throws ParameterException if a name is not known, so that no run passes without its faults
     */
    public static List<String> select(List<String> given, List<String> known) {
        List<String> selected = new ArrayList<>();
        for (String name : given) {
            if (name.equals(ALL)) {
                selected.addAll(known);
            } else if (known.contains(name)) {
                selected.add(name);
            } else {
                String text = "fault \"%s\" is unknown; known are %s, and %s for all of them";
                throw new ParameterException(text.formatted(name, String.join(", ", known), ALL));
            }
        }
        return selected.stream().distinct().toList();
    }
}
