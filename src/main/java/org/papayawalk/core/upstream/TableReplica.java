package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Copy of one table, kept current by changes from the store or from peers. A row never goes back to
 * an older version, and a reading that is older than the copy changes nothing. A copy that was read
 * whole does not know which rows were removed before; it gives a peer that is behind that reading
 * all rows in place of changes. Not thread-safe: confined to the control thread.
 */
public final class TableReplica {
    /** Removed rows that are remembered. */
    private static final int MAX_TOMBSTONES = 1024;

    /** Rows by key, removed ones included so that peers learn of them. */
    private final Map<String, TableRecord> rows = new HashMap<>();

    /** Newest version that the copy covers. */
    private long version;

    /** Version after which every change is known here. */
    private long historyStart;

    /**
     * Takes a reading.
     *
     * @param batch rows read
     * @param after version after which the reading has every change; ignored for a whole reading
     * @return rows whose content or existence changed
     */
    public List<TableRecord> apply(TableUpdate batch, long after) {
        List<TableRecord> changed = new ArrayList<>();
        boolean gap = !batch.snapshot() && after > version;
        if (batch.version() < version || gap) {
            return changed;
        }
        for (TableRecord r : batch.rows()) {
            TableRecord known = rows.get(r.key());
            if (known == null || r.version() > known.version()) {
                rows.put(r.key(), r);
                changed.add(r);
            }
        }
        if (batch.snapshot()) {
            removeMissing(batch, changed);
            historyStart = batch.version() > version ? batch.version() : historyStart;
        }
        version = batch.version();
        evictOldTombstones();
        return changed;
    }

    /**
     * Returns what a peer lacks.
     *
     * @param after version that the peer has
     * @return rows changed since then, removed ones included, or all rows that exist if changes
     *     since then may have been missed here
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
     * @return rows in no order
     */
    public List<TableRecord> liveRows() {
        return rows.values().stream().filter(r -> !r.removed()).toList();
    }

    /**
     * Returns the newest version that the copy covers.
     *
     * @return 0 before the first reading
     */
    public long version() {
        return version;
    }

    /**
     * Marks rows as removed that a whole reading lacks.
     *
     * @param batch whole reading
     * @param changed list to add the removed rows to
     */
    private void removeMissing(TableUpdate batch, List<TableRecord> changed) {
        Set<String> present =
                batch.rows().stream().map(TableRecord::key).collect(Collectors.toSet());
        for (TableRecord r : List.copyOf(rows.values())) {
            if (!r.removed() && !present.contains(r.key()) && r.version() <= batch.version()) {
                TableRecord gone = new TableRecord(r.key(), new byte[0], batch.version(), true);
                rows.put(r.key(), gone);
                changed.add(gone);
            }
        }
    }

    /** Forgets the removals that are oldest, and with them the history up to there. */
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
