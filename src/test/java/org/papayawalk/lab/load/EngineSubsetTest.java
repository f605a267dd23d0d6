package org.papayawalk.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that engines are divided evenly among entries. */
public final class EngineSubsetTest {
    private static final int ENTRIES_PER_ENGINE = 8;

    /**
     * Provides numbers of entries and engines, with more and with fewer engines than entries.
     *
     * @return number of entries, number of engines
     */
    @DataProvider
    public Object[][] entryAndEngineCounts() {
        return new Object[][] {{45, 40}, {45, 36}, {420, 600}, {16, 3}, {9, 100}};
    }

    /**
     * Every engine is used, by about the requested number of entries.
     *
     * @param entries number of entries
     * @param engines number of engines
     */
    @Test(dataProvider = "entryAndEngineCounts")
    public void enginesAreSharedEvenly(int entries, int engines) {
        List<Integer> all = IntStream.range(0, engines).boxed().toList();
        Map<Integer, Integer> entriesByEngine = new HashMap<>();
        for (int i = 0; i < entries; i++) {
            EngineSubset.of(all, i, entries, ENTRIES_PER_ENGINE)
                    .forEach(e -> entriesByEngine.merge(e, 1, Integer::sum));
        }
        assertEquals(entriesByEngine.size(), engines);
        for (int count : entriesByEngine.values()) {
            assertTrue(
                    count >= ENTRIES_PER_ENGINE / 2 && count <= 3 * ENTRIES_PER_ENGINE,
                    count + " entries");
        }
    }

    /** All engines are used if there are few entries, or if no subset size is set. */
    @Test
    public void fewEntriesUseAllEngines() {
        List<Integer> all = List.of(1, 2, 3);
        assertEquals(EngineSubset.of(all, 0, ENTRIES_PER_ENGINE, ENTRIES_PER_ENGINE), all);
        assertEquals(EngineSubset.of(all, 7, 100, 0), all);
    }
}
