package org.papayawalk.core.upstream;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
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
 * snapshot therefore gets a snapshot in place of changes. Versions of different eras of the store
 * are not compared: the replica enters a later era only by a snapshot of that era, which replaces
 * all rows, and ignores reads of earlier eras. Not thread-safe: confined to the control thread.
 */
public final class TableReplica {
    /** Number of tombstones above which the older half is evicted. */
    private static final int MAX_TOMBSTONES = 1024;

    /** Rows by key. Includes tombstones, so that peers receive removals. */
    private final Map<String, TableRecord> rows = new HashMap<>();

    /** Newest table version that the replica covers. */
    private TableVersion version = TableVersion.UNREAD;

    /** Time until which every change is in the replica. */
    private Instant completeUntil = Instant.MIN;

    /** Version number in the present era since which all changes are retained. */
    private long historyStart;

    /**
     * Applies the result of a read. Ignores one that is older than the replica, and changes that
     * would leave a gap after the replica's version.
     *
     * @param update rows read
     * @param after version after which the update has every change, in the era of the update;
     *     ignored for a snapshot
     * @return rows that were written or removed by this update
     */
    public List<TableRecord> apply(TableUpdate update, long after) {
        if (update.version().era().isAfter(version.era())) {
            return update.snapshot() ? enterEra(update) : List.of();
        }
        List<TableRecord> changed = new ArrayList<>();
        boolean gap = !update.snapshot() && after > version.number();
        if (update.version().compareTo(version) < 0 || gap) {
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
            boolean newer = update.version().compareTo(version) > 0;
            historyStart = newer ? update.version().number() : historyStart;
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
    public TableUpdate updateSince(TableVersion after) {
        if (!after.era().equals(version.era()) || after.number() < historyStart) {
            return new TableUpdate(liveRows(), version, true);
        }
        List<TableRecord> newer =
                rows.values().stream().filter(r -> r.version() > after.number()).toList();
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
     * @return version, {@link TableVersion#UNREAD} before the first read
     */
    public TableVersion version() {
        return version;
    }

    /**
     * Records that a version has every change made until a time. No effect unless the replica
     * covers that version.
     *
     * @param covered version
     * @param until time that the store's answer, or what a peer tells of one, proves
     */
    public void recordComplete(TableVersion covered, Instant until) {
        if (version.compareTo(covered) >= 0 && until.isAfter(completeUntil)) {
            completeUntil = until;
        }
    }

    /**
     * Returns the time until which every change is in the replica.
     *
     * @return time, {@link Instant#MIN} if none is proven
     */
    public Instant completeUntil() {
        return completeUntil;
    }

    // Replaces all rows by the first snapshot of a later era. A row with the same value as before
    // is not a change. Tombstones of the earlier era are dropped.
    private List<TableRecord> enterEra(TableUpdate snapshot) {
        Map<String, TableRecord> before = new HashMap<>(rows);
        List<TableRecord> changed = new ArrayList<>();
        long number = snapshot.version().number();
        rows.clear();
        for (TableRecord r : snapshot.rows()) {
            rows.put(r.key(), r);
            TableRecord known = before.remove(r.key());
            boolean same =
                    known != null && !known.removed() && Arrays.equals(known.value(), r.value());
            if (!same) {
                changed.add(r);
            }
        }
        for (TableRecord lost : before.values()) {
            if (!lost.removed()) {
                TableRecord tombstone = new TableRecord(lost.key(), new byte[0], number, true);
                rows.put(lost.key(), tombstone);
                changed.add(tombstone);
            }
        }
        version = snapshot.version();
        historyStart = number;
        return changed;
    }

    // Replaces the rows that a snapshot lacks by tombstones and adds these to the changed rows.
    private void removeMissing(TableUpdate snapshot, List<TableRecord> changed) {
        Set<String> present =
                snapshot.rows().stream().map(TableRecord::key).collect(Collectors.toSet());
        long number = snapshot.version().number();
        for (TableRecord r : List.copyOf(rows.values())) {
            if (!r.removed() && !present.contains(r.key()) && r.version() <= number) {
                TableRecord tombstone = new TableRecord(r.key(), new byte[0], number, true);
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
