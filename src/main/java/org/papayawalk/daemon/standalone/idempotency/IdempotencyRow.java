package org.papayawalk.daemon.standalone.idempotency;

import org.papayawalk.core.idempotency.IdempotencyRecord;

/**
 * Row of a non-idempotent call as read from the table service. Immutable.
 *
 * @param record content of the row
 * @param revision revision of the row, expected by the next compare-and-set
 */
public record IdempotencyRow(IdempotencyRecord record, long revision) {}
