package org.papayawalk.core.idempotency;

/** Phases of a non-idempotent call's row. Immutable. */
public enum IdempotencyPhase {
    /** An entry holds the call and nothing was forwarded under its token. */
    CLAIMED,
    /** An agent has taken the call to its upstream; nobody may run it again. */
    STARTED,
    /** The call was given up before it was forwarded; it may be claimed again. */
    RELEASED,
    /** The call ran and its answer is kept. */
    ANSWERED
}
