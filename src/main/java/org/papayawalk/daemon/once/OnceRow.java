package org.papayawalk.daemon.once;

import org.papayawalk.core.once.OnceRecord;

/**
 * Row of a non-idempotent call as read. Immutable.
 *
 * @param record content
 * @param revision revision for compare-and-set
 */
public record OnceRow(OnceRecord record, long revision) {}
