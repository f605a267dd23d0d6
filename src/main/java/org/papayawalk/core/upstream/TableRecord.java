package org.papayawalk.core.upstream;

/**
 * One row of a table that daemons follow. Immutable by agreement: the bytes are not changed.
 *
 * @param key key of the row
 * @param value bytes, empty for a removed row
 * @param version version at which the row was written or removed
 * @param removed whether the row was removed at that version
 */
public record TableRecord(String key, byte[] value, long version, boolean removed) {}
