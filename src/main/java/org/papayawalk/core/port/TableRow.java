package org.papayawalk.core.port;

/**
 * Row of the table service. Read from JSON under its component names. Immutable by convention: the
 * byte array is not modified.
 *
 * @param key key of the row, unique within its table
 * @param revision revision of the transaction that wrote the value, above 0
 * @param value content of the row
 */
public record TableRow(String key, long revision, byte[] value) {}
