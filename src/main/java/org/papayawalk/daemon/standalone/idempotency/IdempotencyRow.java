package org.papayawalk.daemon.standalone.idempotency;

import org.papayawalk.core.once.OnceRecord;

/**
 * Row of a non-idempotent call as read. Immutable.
 *
 * @param record content
 * @param revision revision for compare-and-set
 */
public record IdempotencyRow(OnceRecord record, long revision) {}
