package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the entries that an entry queries in one round of exchange. In a region of several
 * entries most queries stay there. One that goes to another region asks for table rows only while
 * the entry is not in contact with the store, which has them all; so rows do not cross links
 * between regions a second time, also not to small regions. Stateless; thread-safe.
 */
public final class QueryRound {
    /** Number of entries of a region up to which each queries entries of any region. */
    private static final int SMALL_REGION = 3;

    // Entries queried in a round.
    private static final int FANOUT = 2;

    // Every so many rounds one query goes to another region.
    private static final int ROUNDS_PER_VISIT = 3;

    private QueryRound() {}

    /**
     * Query of a round.
     *
     * @param target address of an entry
     * @param rows whether to ask for newer table rows
     */
    public record Query(String target, boolean rows) {}

    /**
     * Chooses the queries of a round.
     *
     * @param own addresses of the other entries of the region
     * @param others addresses of the entries of other regions
     * @param round number of the round
     * @param inContact whether the store answered the last call for each table
     * @param random source of the random choice
     * @return at most 2 queries to different entries
     */
    public static List<Query> choose(
            List<String> own,
            List<String> others,
            int round,
            boolean inContact,
            RandomGenerator random) {
        if (own.size() < SMALL_REGION) {
            List<String> any = new ArrayList<>(own);
            any.addAll(others);
            return pick(any, FANOUT, true, random).stream()
                    .map(q -> new Query(q.target(), !inContact || own.contains(q.target())))
                    .toList();
        }
        boolean visit = round % ROUNDS_PER_VISIT == 0 && !others.isEmpty();
        List<Query> queries = new ArrayList<>(pick(own, visit ? FANOUT - 1 : FANOUT, true, random));
        if (visit) {
            queries.addAll(pick(others, 1, !inContact, random));
        }
        return queries;
    }

    private static List<Query> pick(
            List<String> candidates, int count, boolean rows, RandomGenerator random) {
        List<String> rest = new ArrayList<>(candidates);
        List<Query> picked = new ArrayList<>();
        while (picked.size() < count && !rest.isEmpty()) {
            Collections.swap(rest, random.nextInt(rest.size()), rest.size() - 1);
            picked.add(new Query(rest.remove(rest.size() - 1), rows));
        }
        return picked;
    }
}
