package org.papayawalk.daemon.managed;

import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.upstream.TableRecord;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;

/**
 * Read of a whole table, page by page. The version of the first page counts for the complete table:
 * changes that are made between the pages arrive with the long poll that follows. Pages of
 * different eras do not form a table, and a read may be older than the last answer of a poll.
 * Confined to the control thread.
 */
final class FullRead {
    private final List<TableRecord> rows = new ArrayList<>();

    /** Version of the first page, null before it. */
    private TableVersion covered;

    /**
     * Adds a page.
     *
     * @param page next page
     * @return false if it belongs to another era than the pages before
     */
    boolean add(TableUpdate page) {
        covered = covered == null ? page.version() : covered;
        rows.addAll(page.rows());
        return covered.era().equals(page.version().era());
    }

    /**
     * Returns the table.
     *
     * @return all rows of the pages so far, of which there is at least one
     */
    TableUpdate snapshot() {
        return new TableUpdate(rows, covered, true);
    }
}
