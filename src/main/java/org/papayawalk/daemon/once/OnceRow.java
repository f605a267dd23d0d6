package org.papayawalk.daemon.once;

import org.papayawalk.core.idempotency.IdempotencyRecord;

/**
 * Row of a non-idempotent call as read. Immutable.
 *
 * @param record content
 * @param revision revision for compare-and-set
 */
public record OnceRow(IdempotencyRecord record, long revision) {}
