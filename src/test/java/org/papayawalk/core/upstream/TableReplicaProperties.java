package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.papayawalk.core.id.StoreEra;
import org.testng.Assert;

/**
 * Properties of {@link TableReplica}: whatever the store and peers return, late, stale or twice,
 * and however often the store is restored from an older copy, a replica holds the rows that the
 * store had at the replica's version, and its version never decreases.
 */
final class TableReplicaProperties {
    /** Number of keys in the table. */
    private static final int KEYS = 5;

    /** Number of replicas that read from each other. */
    private static final int REPLICAS = 4;

    /** Steps of one run. */
    private static final int STEPS = 120;

    /** One step in this many, on average, restarts a replica. */
    private static final int STEPS_PER_RESTART = 20;

    /** One step in this many, on average, restores the store from an older copy. */
    private static final int STEPS_PER_RESTORE = 30;

    /** Store that keeps every version of its table in one era. Not thread-safe. */
    private static final class Store {
        /** Rows by key, tombstones included, at each version. */
        private final List<Map<String, TableRecord>> history = new ArrayList<>();

        /** Number of restores before. */
        private final int era;

        /** Creates an empty store at version 0. */
        Store() {
            era = 0;
            history.add(new TreeMap<>());
        }

        /**
         * Creates a store that was restored from a copy of another.
         *
         * @param earlier store before the restore
         * @param version version of the copy
         */
        Store(Store earlier, int version) {
            era = earlier.era + 1;
            history.addAll(earlier.history.subList(0, version + 1));
        }

        /**
         * Returns the newest version.
         *
         * @return version, 0 before the first write
         */
        int version() {
            return history.size() - 1;
        }

        /**
         * Writes or removes a row in a new version.
         *
         * @param key key of the row
         * @param removed whether the row is removed
         */
        void write(String key, boolean removed) {
            Map<String, TableRecord> rows = new TreeMap<>(history.get(version()));
            int next = history.size();
            byte[] value = {(byte) next, (byte) era};
            rows.put(key, new TableRecord(key, value, next, removed));
            history.add(rows);
        }

        /**
         * Returns the changes between two versions.
         *
         * @param after version after which the changes start
         * @param version newest version that they cover
         * @return changes, tombstones included
         */
        TableUpdate changes(int after, int version) {
            return new TableUpdate(
                    history.get(version).values().stream()
                            .filter(r -> r.version() > after)
                            .toList(),
                    position(version),
                    false);
        }

        /**
         * Returns a snapshot of an earlier version.
         *
         * @param version version of the snapshot
         * @return snapshot
         */
        TableUpdate snapshot(int version) {
            return new TableUpdate(
                    history.get(version).values().stream().filter(r -> !r.removed()).toList(),
                    position(version),
                    true);
        }

        private TableVersion position(int version) {
            return new TableVersion(new StoreEra(era), version);
        }

        /**
         * Returns the rows that existed at a version.
         *
         * @param version version of the table
         * @return versions of the rows by key
         */
        Map<String, Long> liveRows(long version) {
            Map<String, Long> rows = new TreeMap<>();
            history.get((int) version).values().stream()
                    .filter(r -> !r.removed())
                    .forEach(r -> rows.put(r.key(), r.version()));
            return rows;
        }
    }

    /**
     * A replica holds the rows that the store had at the replica's version.
     *
     * @param seed seed of the run
     */
    @Property(tries = 400, seed = "20261204")
    void replicasMatchTheStore(@ForAll @IntRange(min = 0) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Store> eras = new ArrayList<>(List.of(new Store()));
        List<TableReplica> replicas = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            replicas.add(new TableReplica());
        }
        for (int step = 0; step < STEPS; step++) {
            int which = random.nextInt(REPLICAS);
            if (random.nextInt(STEPS_PER_RESTART) == 0) {
                replicas.set(which, new TableReplica());
            }
            Store newest = eras.get(eras.size() - 1);
            if (random.nextInt(STEPS_PER_RESTORE) == 0 && newest.version() > 0) {
                eras.add(new Store(newest, random.nextInt(newest.version() + 1)));
            }
            TableReplica replica = replicas.get(which);
            TableVersion before = replica.version();
            // An answer may be late and come from any era.
            Store answering = eras.get(random.nextInt(eras.size()));
            step(answering, replica, replicas.get(random.nextInt(REPLICAS)), random);
            Assert.assertTrue(
                    replica.version().compareTo(before) >= 0, "version went back from " + before);
            Store held = eras.get((int) replica.version().era().number());
            Assert.assertEquals(rows(replica), held.liveRows(replica.version().number()));
        }
    }

    // Writes to the store, or lets a replica read changes or a snapshot from the store or a peer.
    private static void step(
            Store store, TableReplica replica, TableReplica peer, SplittableRandom random) {
        int version = random.nextInt(store.version() + 1);
        switch (random.nextInt(5)) {
            case 0, 1 -> {
                String key = "k" + random.nextInt(KEYS);
                boolean exists = store.liveRows(store.version()).containsKey(key);
                store.write(key, exists && random.nextBoolean());
            }
            case 2 -> {
                int after = random.nextInt(version + 1);
                replica.apply(store.changes(after, version), after);
            }
            case 3 -> replica.apply(store.snapshot(version), 0);
            default -> {
                TableVersion known = replica.version();
                long mark = known.number() == 0 ? 0 : random.nextLong(known.number() + 1);
                if (peer != replica && peer.version().number() > 0) {
                    replica.apply(peer.updateSince(new TableVersion(known.era(), mark)), mark);
                }
            }
        }
    }

    // Returns the versions of the live rows of a replica by key.
    private static Map<String, Long> rows(TableReplica replica) {
        Map<String, Long> rows = new TreeMap<>();
        replica.liveRows().forEach(r -> rows.put(r.key(), r.version()));
        return rows;
    }
}
