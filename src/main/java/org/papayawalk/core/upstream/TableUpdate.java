package org.papayawalk.core.upstream;

import java.util.List;

/**
 * Rows of one table as read at one moment. Immutable.
 *
 * @param rows changed rows, or all of them
 * @param version newest version that the reading covers
 * @param snapshot whether rows that are absent do not exist
 */
public record TableUpdate(List<TableRecord> rows, long version, boolean snapshot) {

    /** Copies the rows. */
    public TableUpdate {
        rows = List.copyOf(rows);
    }
}
