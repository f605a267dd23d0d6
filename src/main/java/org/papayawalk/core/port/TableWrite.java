package org.papayawalk.core.port;

/**
 * One write of a transaction, with the revision that it depends on. Immutable by convention.
 *
 * @param table name of the table
 * @param key key within the table
 * @param expectedRevision revision that the row must have, or {@link #ABSENT}
 * @param value new content
 */
public record TableWrite(String table, String key, long expectedRevision, byte[] value) {
    /** Demands that the row does not exist. */
    public static final long ABSENT = 0;
}
