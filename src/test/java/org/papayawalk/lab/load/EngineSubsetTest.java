package org.papayawalk.lab.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Divides engines among entries and looks at how evenly that is done. */
public final class EngineSubsetTest {
    /** Entries that are to share an engine. */
    private static final int SHARERS = 8;

    /**
     * Lists numbers of entries and engines.
     *
     * @return numbers
     */
    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{45, 40}, {45, 36}, {420, 600}, {16, 3}, {9, 100}};
    }

    /**
     * Every engine is used, by about as many entries as were asked for.
     *
     * @param entries number of entries
     * @param engines number of engines
     */
    @Test(dataProvider = "sizes")
    public void enginesAreSharedEvenly(int entries, int engines) {
        List<Integer> all = IntStream.range(0, engines).boxed().toList();
        Map<Integer, Integer> users = new HashMap<>();
        for (int i = 0; i < entries; i++) {
            EngineSubset.of(all, i, entries, SHARERS).forEach(e -> users.merge(e, 1, Integer::sum));
        }
        assertEquals(users.size(), engines);
        for (int count : users.values()) {
            assertTrue(count >= SHARERS / 2 && count <= 3 * SHARERS, count + " users");
        }
    }

    /** Few entries use all engines, and so does everyone if no number is given. */
    @Test
    public void fewEntriesUseAllEngines() {
        List<Integer> all = List.of(1, 2, 3);
        assertEquals(EngineSubset.of(all, 0, SHARERS, SHARERS), all);
        assertEquals(EngineSubset.of(all, 7, 100, 0), all);
    }
}
