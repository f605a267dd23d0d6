package org.papayawalk.core.upstream;

/**
 * Row of a replicated table, or the tombstone of a removed row. Immutable by convention: the value
 * array is shared and must not be modified.
 *
 * @param key key of the row
 * @param value value of the row, empty for a tombstone
 * @param version number of the table version, within the era of the update or replica that holds
 *     the row, at which it was written or removed
 * @param removed whether this is a tombstone
 */
public record TableRecord(String key, byte[] value, long version, boolean removed) {}
