package org.papayawalk.core.idempotency;

/** What an entry does about a non-idempotent call, given the call's row. Immutable. */
public enum ClaimDecision {
    /** There is no row: insert one with a new token. */
    INSERT,
    /** The call was not forwarded: replace the token by compare-and-set, then dispatch. */
    TAKE_OVER,
    /** Another attempt is fresh or under way: read again shortly. */
    WAIT,
    /** Answer with the kept answer. */
    REPLAY,
    /** The key stands for another request: refuse. */
    MISMATCH
}
