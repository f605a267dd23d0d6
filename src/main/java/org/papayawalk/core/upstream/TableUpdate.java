package org.papayawalk.core.upstream;

import java.util.List;
import java.util.OptionalLong;

/**
 * Result of one read of a table: either a snapshot or the changes since an earlier version.
 * Immutable.
 *
 * @param rows all existing rows of a snapshot, else the changed rows, removed ones included
 * @param version newest table version that the read covers
 * @param snapshot whether the rows are complete, so that absent rows do not exist
 * @param storeMillis when the store gave the rows, in milliseconds of its own steady clock; empty
 *     if they come from another daemon
 */
public record TableUpdate(
        List<TableRecord> rows, TableVersion version, boolean snapshot, OptionalLong storeMillis) {

    /** Copies the rows. */
    public TableUpdate {
        rows = List.copyOf(rows);
    }

    /**
     * Creates an update that does not tell when the store gave the rows.
     *
     * @param rows all existing rows of a snapshot, else the changed rows, removed ones included
     * @param version newest table version that the read covers
     * @param snapshot whether the rows are complete
     */
    public TableUpdate(List<TableRecord> rows, TableVersion version, boolean snapshot) {
        this(rows, version, snapshot, OptionalLong.empty());
    }
}
