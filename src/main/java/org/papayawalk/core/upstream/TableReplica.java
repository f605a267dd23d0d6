package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Replica of one table, updated from the store or from peers. The replica and each row only move to
 * newer versions; a read that is older than the replica has no effect. A replica that was filled
 * from a snapshot has no tombstones of rows that were removed earlier; a peer that is behind that
 * snapshot therefore gets a snapshot in place of changes. Not thread-safe: confined to the control
 * thread.
 */
public final class TableReplica {
    /** Number of tombstones above which the older half is evicted. */
    private static final int MAX_TOMBSTONES = 1024;

    /** Rows by key. Includes tombstones, so that peers receive removals. */
    private final Map<String, TableRecord> rows = new HashMap<>();

    /** Newest table version that the replica covers, 0 before the first read. */
    private long version;

    /** Table version since which all changes are retained. */
    private long historyStart;

    /**
     * Applies the result of a read. Ignores one that is older than the replica, and changes that
     * would leave a gap after the replica's version.
     *
     * @param update rows read
     * @param after version after which the update has every change; ignored for a snapshot
     * @return rows that were written or removed by this update
     */
    public List<TableRecord> apply(TableUpdate update, long after) {
        List<TableRecord> changed = new ArrayList<>();
        boolean gap = !update.snapshot() && after > version;
        if (update.version() < version || gap) {
            return changed;
        }
        for (TableRecord r : update.rows()) {
            TableRecord known = rows.get(r.key());
            if (known == null || r.version() > known.version()) {
                rows.put(r.key(), r);
                changed.add(r);
            }
        }
        if (update.snapshot()) {
            removeMissing(update, changed);
            historyStart = update.version() > version ? update.version() : historyStart;
        }
        version = update.version();
        evictOldTombstones();
        return changed;
    }

    /**
     * Returns the update that brings a peer to the version of this replica.
     *
     * @param after version that the peer has
     * @return rows changed since then, tombstones included; a snapshot if changes since then may be
     *     missing here
     */
    public TableUpdate updateSince(long after) {
        if (after < historyStart) {
            return new TableUpdate(liveRows(), version, true);
        }
        List<TableRecord> newer = rows.values().stream().filter(r -> r.version() > after).toList();
        return new TableUpdate(newer, version, false);
    }

    /**
     * Returns the rows that exist.
     *
     * @return rows without tombstones, in no particular order
     */
    public List<TableRecord> liveRows() {
        return rows.values().stream().filter(r -> !r.removed()).toList();
    }

    /**
     * Returns the newest table version that the replica covers.
     *
     * @return version, 0 before the first read
     */
    public long version() {
        return version;
    }

    // Replaces the rows that a snapshot lacks by tombstones and adds these to the changed rows.
    private void removeMissing(TableUpdate snapshot, List<TableRecord> changed) {
        Set<String> present =
                snapshot.rows().stream().map(TableRecord::key).collect(Collectors.toSet());
        for (TableRecord r : List.copyOf(rows.values())) {
            if (!r.removed() && !present.contains(r.key()) && r.version() <= snapshot.version()) {
                TableRecord tombstone =
                        new TableRecord(r.key(), new byte[0], snapshot.version(), true);
                rows.put(r.key(), tombstone);
                changed.add(tombstone);
            }
        }
    }

    // Evicts the older half of too many tombstones; the history then starts after them.
    private void evictOldTombstones() {
        List<TableRecord> removed =
                rows.values().stream()
                        .filter(TableRecord::removed)
                        .sorted(Comparator.comparingLong(TableRecord::version))
                        .toList();
        if (removed.size() <= MAX_TOMBSTONES) {
            return;
        }
        for (TableRecord r : removed.subList(0, removed.size() / 2)) {
            rows.remove(r.key());
            historyStart = Math.max(historyStart, r.version());
        }
    }
}
