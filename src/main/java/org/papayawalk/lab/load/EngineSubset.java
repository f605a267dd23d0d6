package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Divides engines among entries, so that each engine hears from a few entries only and each entry
 * often hears from its engines. Answers the load of more entries than an engine has slots for.
 * Entries are taken in rounds; in each round every engine belongs to one entry of it. Holds no
 * state; safe from any thread.
 */
final class EngineSubset {

    /** Prevents instances. */
    private EngineSubset() {}

    /**
     * Returns the engines of an entry.
     *
     * @param engines all engines, in the same order at every entry
     * @param entry place of the entry among all entries
     * @param entries number of entries
     * @param sharers entries that share an engine, about; 0 for all
     * @param <T> type of the engines
     * @return engines that it uses
     */
    static <T> List<T> of(List<T> engines, int entry, int entries, int sharers) {
        int size = (int) Math.ceil(engines.size() * (double) sharers / entries);
        if (sharers == 0 || size >= engines.size()) {
            return engines;
        }
        int groups = engines.size() / size;
        List<T> shuffled = new ArrayList<>(engines);
        Collections.shuffle(shuffled, new Random(entry / groups));
        int from = entry % groups * size;
        boolean last = entry % groups == groups - 1;
        return List.copyOf(shuffled.subList(from, last ? engines.size() : from + size));
    }
}
