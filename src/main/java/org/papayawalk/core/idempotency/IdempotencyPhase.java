package org.papayawalk.core.idempotency;

/** Phase of a non-idempotent call, as stored in its row. Immutable. */
public enum IdempotencyPhase {
    /** An entry has claimed the call; nothing has been forwarded under its token. */
    CLAIMED,
    /** An agent may have forwarded the call to its upstream; it must not run again. */
    STARTED,
    /** The attempt ended without running the call, which may be claimed again. */
    RELEASED,
    /** The call has run and its answer is stored. */
    ANSWERED
}
