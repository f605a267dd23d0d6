package org.papayawalk.daemon.standalone.idempotency;

/** How a compare-and-set of a row ended. Immutable. */
public enum WriteResult {
    /** The row has the new content. */
    WRITTEN,
    /** Another write came first; this one has not and will not take effect. */
    CONFLICT,
    /** The write may have taken effect or may yet do so. */
    UNKNOWN
}
