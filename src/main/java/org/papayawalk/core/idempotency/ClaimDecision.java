package org.papayawalk.core.idempotency;

/** Action of an entry on a non-idempotent call, according to the row of the call. Immutable. */
public enum ClaimDecision {
    /** No row exists: insert one with a new token. */
    INSERT,
    /**
     * The call was released, or its claim is old: replace the token by compare-and-set, then
     * dispatch.
     */
    TAKE_OVER,
    /** Another attempt has claimed the call recently or has started it: poll the row. */
    WAIT,
    /** The call is complete: return the stored answer. */
    REPLAY,
    /** The idempotency key belongs to a different request: refuse the call. */
    MISMATCH
}
