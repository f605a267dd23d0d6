package org.papayawalk.daemon.standalone.idempotency;

import org.papayawalk.core.idempotency.IdempotencyRecord;

/**
 * Row of a non-idempotent call as read. Immutable.
 *
 * @param record content
 * @param revision revision for compare-and-set
 */
public record IdempotencyRow(IdempotencyRecord record, long revision) {}
