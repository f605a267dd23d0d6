package org.papayawalk.daemon.standalone.idempotency;

/** Result of a compare-and-set of a row. Immutable. */
public enum WriteResult {
    /** The row has the new content. */
    WRITTEN,
    /** Another write changed the row first; this write has not and will not take effect. */
    CONFLICT,
    /** The write may have taken effect or may still take effect. */
    UNKNOWN
}
