package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.testng.Assert;

/**
 * Properties of {@link TableReplica}: whatever stores and peers answer, late, stale or twice, a
 * copy holds what the store held at the copy's version, and never goes back.
 */
final class TableReplicaProperties {
    /** Keys of the table. */
    private static final int KEYS = 5;

    /** Copies that ask each other. */
    private static final int COPIES = 4;

    /** Steps of a history. */
    private static final int STEPS = 120;

    /** One step in this many starts a copy anew. */
    private static final int RESTART_ODDS = 20;

    /** Store with its whole history. Not thread-safe. */
    private static final class Store {
        /** Rows by key, removed ones included, at each version. */
        private final List<Map<String, TableRecord>> history = new ArrayList<>();

        /** Creates a store without rows. */
        Store() {
            history.add(new TreeMap<>());
        }

        /**
         * Returns the newest version.
         *
         * @return version
         */
        int version() {
            return history.size() - 1;
        }

        /**
         * Writes or removes a row.
         *
         * @param key key
         * @param removed whether it is removed
         */
        void write(String key, boolean removed) {
            Map<String, TableRecord> rows = new TreeMap<>(history.get(version()));
            int next = history.size();
            rows.put(key, new TableRecord(key, new byte[] {(byte) next}, next, removed));
            history.add(rows);
        }

        /**
         * Returns changes.
         *
         * @param after version after which they begin
         * @param version version that they cover
         * @return batch
         */
        TableUpdate changes(int after, int version) {
            return new TableUpdate(
                    history.get(version).values().stream()
                            .filter(r -> r.version() > after)
                            .toList(),
                    version,
                    false);
        }

        /**
         * Returns a whole reading.
         *
         * @param version version that it is of
         * @return batch
         */
        TableUpdate whole(int version) {
            return new TableUpdate(
                    history.get(version).values().stream().filter(r -> !r.removed()).toList(),
                    version,
                    true);
        }

        /**
         * Returns the rows that existed.
         *
         * @param version version
         * @return versions of the rows by key
         */
        Map<String, Long> existing(long version) {
            Map<String, Long> rows = new TreeMap<>();
            history.get((int) version).values().stream()
                    .filter(r -> !r.removed())
                    .forEach(r -> rows.put(r.key(), r.version()));
            return rows;
        }
    }

    /**
     * A copy holds what the store held at its version.
     *
     * @param seed seed of the history
     */
    @Property(tries = 400, seed = "20261204")
    void copiesAreTrue(@ForAll @IntRange(min = 0) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Store store = new Store();
        List<TableReplica> copies = new ArrayList<>();
        for (int i = 0; i < COPIES; i++) {
            copies.add(new TableReplica());
        }
        for (int step = 0; step < STEPS; step++) {
            int which = random.nextInt(COPIES);
            if (random.nextInt(RESTART_ODDS) == 0) {
                copies.set(which, new TableReplica());
            }
            TableReplica copy = copies.get(which);
            long before = copy.version();
            step(store, copy, copies.get(random.nextInt(COPIES)), random);
            Assert.assertTrue(copy.version() >= before, "went back");
            Assert.assertEquals(rows(copy), store.existing(copy.version()));
        }
    }

    /**
     * Carries out a step.
     *
     * @param store store
     * @param copy copy that reads
     * @param peer copy that it may ask
     * @param random source of chance
     */
    private static void step(
            Store store, TableReplica copy, TableReplica peer, SplittableRandom random) {
        int version = random.nextInt(store.version() + 1);
        switch (random.nextInt(5)) {
            case 0, 1 -> {
                String key = "k" + random.nextInt(KEYS);
                boolean exists = store.existing(store.version()).containsKey(key);
                store.write(key, exists && random.nextBoolean());
            }
            case 2 -> {
                int after = random.nextInt(version + 1);
                copy.apply(store.changes(after, version), after);
            }
            case 3 -> copy.apply(store.whole(version), 0);
            default -> {
                long mark = copy.version() == 0 ? 0 : random.nextLong(copy.version() + 1);
                if (peer != copy && peer.version() > 0) {
                    copy.apply(peer.updateSince(mark), mark);
                }
            }
        }
    }

    /**
     * Returns the rows that a copy holds.
     *
     * @param copy copy
     * @return versions of the rows by key
     */
    private static Map<String, Long> rows(TableReplica copy) {
        Map<String, Long> rows = new TreeMap<>();
        copy.liveRows().forEach(r -> rows.put(r.key(), r.version()));
        return rows;
    }
}
