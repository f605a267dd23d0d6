package org.papayawalk.core.port;

/**
 * Conditional write of one row within a transaction. Sent as JSON under its component names.
 * Immutable by convention: the byte array is not modified.
 *
 * @param table name of the table
 * @param key key of the row, unique within the table
 * @param expectedRevision revision that the row must have, {@link #ABSENT} if it must not exist
 * @param value new content of the row
 */
public record TableWrite(String table, String key, long expectedRevision, byte[] value) {
    /** Expected revision of a row that must not exist. */
    public static final long ABSENT = 0;
}
