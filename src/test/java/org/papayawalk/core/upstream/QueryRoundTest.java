package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.papayawalk.core.upstream.QueryRound.Query;
import org.testng.annotations.Test;

/** Choice of the entries to query, and how fast news spread by these queries. */
public final class QueryRoundTest {
    private static final int REGIONS = 3;

    private static final int PER_REGION = 12;

    private static final int SEEDS = 200;

    // Rounds in which every entry has heard the news, for any seed.
    private static final int MAX_ROUNDS = 5;

    private final SplittableRandom random = new SplittableRandom(5);

    /** An entry in contact with the store asks for rows in its own region only. */
    @Test
    public void rowsAreAskedForInTheOwnRegion() {
        int away = 0;
        for (int round = 0; round < 100; round++) {
            List<Query> queries = QueryRound.choose(names(0), names(1), round, true, random);
            assertEquals(queries.size(), 2);
            assertEquals(new HashSet<>(queries).size(), 2);
            for (Query q : queries) {
                assertEquals(q.rows(), names(0).contains(q.target()));
                away += q.rows() ? 0 : 1;
            }
        }
        assertEquals(away, 34);
    }

    /** An entry without the store asks for rows everywhere. */
    @Test
    public void rowsAreAskedForEverywhereWithoutTheStore() {
        List<Query> queries = QueryRound.choose(names(0), names(1), 0, false, random);
        assertTrue(queries.stream().allMatch(Query::rows));
        assertTrue(queries.stream().anyMatch(q -> names(1).contains(q.target())));
    }

    /** In a small region any entry is queried, for rows as in others. */
    @Test
    public void smallRegionsQueryAnyEntry() {
        List<String> own = names(0).subList(0, 2);
        Set<String> seen = new HashSet<>();
        for (int round = 0; round < 400; round++) {
            for (Query q : QueryRound.choose(own, names(1), round, true, random)) {
                assertEquals(q.rows(), own.contains(q.target()));
                seen.add(q.target());
            }
            List<Query> without = QueryRound.choose(own, names(1), round, false, random);
            assertTrue(without.stream().allMatch(Query::rows));
        }
        assertEquals(seen.size(), 2 + PER_REGION);
    }

    /** Without other regions both queries stay, and without entries there is none. */
    @Test
    public void missingEntriesAreLeftOut() {
        assertEquals(QueryRound.choose(names(0), List.of(), 0, true, random).size(), 2);
        assertTrue(QueryRound.choose(List.of(), List.of(), 0, true, random).isEmpty());
        assertFalse(QueryRound.choose(List.of(), names(1), 1, true, random).isEmpty());
    }

    /** News of one entry reach all entries of all regions within a few rounds. */
    @Test
    public void newsSpreadOverAllRegions() {
        int worst = 0;
        long sum = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            int rounds = roundsUntilAllKnow(new SplittableRandom(seed));
            worst = Math.max(worst, rounds);
            sum += rounds;
        }
        assertTrue(worst <= MAX_ROUNDS, "worst " + worst + ", mean " + (double) sum / SEEDS);
    }

    // Each query exchanges what both sides know. Entries count their rounds differently.
    private static int roundsUntilAllKnow(SplittableRandom random) {
        int count = REGIONS * PER_REGION;
        Set<String> knowing = new HashSet<>(Set.of(names(0).get(0)));
        int[] offsets = random.ints(count, 0, 10).toArray();
        int rounds = 0;
        while (knowing.size() < count) {
            rounds++;
            for (int i = 0; i < count; i++) {
                spread(i, rounds + offsets[i], knowing, random);
            }
        }
        return rounds;
    }

    private static void spread(int entry, int round, Set<String> knowing, SplittableRandom random) {
        int region = entry / PER_REGION;
        String self = names(region).get(entry % PER_REGION);
        List<String> own = new ArrayList<>(names(region));
        own.remove(self);
        List<String> others = new ArrayList<>();
        IntStream.range(0, REGIONS).filter(r -> r != region).forEach(r -> others.addAll(names(r)));
        for (Query q : QueryRound.choose(own, others, round, true, random)) {
            if (knowing.contains(self) || knowing.contains(q.target())) {
                knowing.add(self);
                knowing.add(q.target());
            }
        }
    }

    private static List<String> names(int region) {
        return IntStream.range(0, PER_REGION).mapToObj(i -> "r" + region + "-" + i).toList();
    }
}
