package org.papayawalk.lab.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Assigns a subset of the engines to each entry. Each engine then receives requests from few
 * entries, and each entry receives load reports from its engines often. This is needed if there are
 * more entries than an engine has slots. Entries are divided into rounds; in each round every
 * engine is assigned to exactly one entry. Stateless and thread-safe.
 */
final class EngineSubset {

    private EngineSubset() {}

    /**
     * Returns the engines that are assigned to an entry.
     *
     * @param engines all engines, in the same order for every entry
     * @param entryIndex index of the entry, from 0
     * @param entries number of entries
     * @param entriesPerEngine approximate number of entries that share an engine; 0 for all entries
     * @param <T> type of the engines
     * @return engines of the entry; all engines if there are too few to divide
     */
    static <T> List<T> of(List<T> engines, int entryIndex, int entries, int entriesPerEngine) {
        int size = (int) Math.ceil(engines.size() * (double) entriesPerEngine / entries);
        if (entriesPerEngine == 0 || size >= engines.size()) {
            return engines;
        }
        int groups = engines.size() / size;
        List<T> shuffled = new ArrayList<>(engines);
        Collections.shuffle(shuffled, new Random(entryIndex / groups));
        int from = entryIndex % groups * size;
        boolean last = entryIndex % groups == groups - 1;
        return List.copyOf(shuffled.subList(from, last ? engines.size() : from + size));
    }
}
