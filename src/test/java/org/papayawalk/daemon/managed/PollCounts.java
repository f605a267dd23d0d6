package org.papayawalk.daemon.managed;

import java.util.HashMap;
import java.util.Map;

/** Counts the polls that a fake store gets, and the rows that it returns. Thread-safe. */
public final class PollCounts {
    private final Map<String, Integer> polls = new HashMap<>();

    private final Map<String, Integer> rows = new HashMap<>();

    /**
     * Counts a poll.
     *
     * @param table name of the table
     */
    synchronized void addPoll(String table) {
        polls.merge(table, 1, Integer::sum);
    }

    /**
     * Counts returned rows.
     *
     * @param table name of the table
     * @param count number of rows
     */
    synchronized void addRows(String table, int count) {
        rows.merge(table, count, Integer::sum);
    }

    /**
     * Returns how many polls for changes of a table arrived.
     *
     * @param table name of the table
     * @return number of calls since the start
     */
    public synchronized int polls(String table) {
        return polls.getOrDefault(table, 0);
    }

    /**
     * Returns how many rows of a table were returned to polls.
     *
     * @param table name of the table
     * @return number of rows since the start
     */
    public synchronized int rows(String table) {
        return rows.getOrDefault(table, 0);
    }
}
