package org.papayawalk.core.upstream;

import java.util.List;

/**
 * Result of one read of a table: either a snapshot or the changes since an earlier version.
 * Immutable.
 *
 * @param rows all existing rows of a snapshot, else the changed rows, removed ones included
 * @param version newest table version that the read covers
 * @param snapshot whether the rows are complete, so that absent rows do not exist
 */
public record TableUpdate(List<TableRecord> rows, TableVersion version, boolean snapshot) {

    /** Copies the rows. */
    public TableUpdate {
        rows = List.copyOf(rows);
    }
}
