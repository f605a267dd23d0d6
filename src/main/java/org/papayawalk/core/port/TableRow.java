package org.papayawalk.core.port;

/**
 * Row of the table service. Immutable by convention: the bytes are not changed.
 *
 * @param key key within its table
 * @param revision revision of the write that made this value, above 0
 * @param value content
 */
public record TableRow(String key, long revision, byte[] value) {}
