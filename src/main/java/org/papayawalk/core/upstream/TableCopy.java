package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Copy of one table, kept current by changes from the store or from peers. A row never goes back to
 * an older version, and a reading that is older than the copy changes nothing. Not thread-safe:
 * confined to the control thread.
 */
public final class TableCopy {
    /** Rows by key, removed ones included so that peers learn of them. */
    private final Map<String, TableRecord> rows = new HashMap<>();

    /** Newest version that the copy covers. */
    private long version;

    /**
     * Takes a reading.
     *
     * @param batch rows read
     * @param after version after which the reading has every change; ignored for a whole reading
     * @return rows whose content or existence changed
     */
    public List<TableRecord> apply(TableBatch batch, long after) {
        List<TableRecord> changed = new ArrayList<>();
        boolean gap = !batch.whole() && after > version;
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
        if (batch.whole()) {
            removeAbsent(batch, changed);
        }
        version = batch.version();
        return changed;
    }

    /**
     * Returns the rows changed after a version.
     *
     * @param after version that the asker has
     * @return rows, removed ones included
     */
    public List<TableRecord> changesAfter(long after) {
        return rows.values().stream().filter(r -> r.version() > after).toList();
    }

    /**
     * Returns the rows that exist.
     *
     * @return rows in no order
     */
    public List<TableRecord> existing() {
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
    private void removeAbsent(TableBatch batch, List<TableRecord> changed) {
        List<String> present = batch.rows().stream().map(TableRecord::key).toList();
        for (TableRecord r : List.copyOf(rows.values())) {
            if (!r.removed() && !present.contains(r.key()) && r.version() <= batch.version()) {
                TableRecord gone = new TableRecord(r.key(), new byte[0], batch.version(), true);
                rows.put(r.key(), gone);
                changed.add(gone);
            }
        }
    }
}
