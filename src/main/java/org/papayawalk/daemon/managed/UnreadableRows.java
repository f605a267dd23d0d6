package org.papayawalk.daemon.managed;

import java.util.LinkedHashMap;
import java.util.Map;
import org.papayawalk.core.upstream.TableRecord;

/**
 * Versions of rows that were logged as unreadable, so that a table that is read again and again
 * logs each of them once. Bounded. Not thread-safe: confined to the control thread.
 */
final class UnreadableRows {
    private static final int MAX_ROWS = 1000;

    // Version by key.
    private final Map<String, Long> logged =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_ROWS;
                }
            };

    /**
     * Tells whether an unreadable row has to be logged, and records that it is.
     *
     * @param row unreadable row
     * @return false if this version of the row was logged before
     */
    boolean logsNow(TableRecord row) {
        Long before = logged.put(row.key(), row.version());
        return before == null || before != row.version();
    }
}
