package org.papayawalk.daemon.managed.agent;

/** Outcome of an attempt to have the engine load a staged version. */
enum LoadOutcome {
    /** The engine has accepted the order. */
    ACCEPTED,

    /** The engine has refused the order. */
    REFUSED,

    /** The engine has not answered the order and may accept it later. */
    UNANSWERED,

    /**
     * No order was sent, as a chunk is missing or corrupt at the engine and could not be staged.
     */
    UNVERIFIED,

    /** No order was sent, as only a verification was due; it succeeded. */
    VERIFIED,

    /** No order was sent, as a verification was outdated when it ended or proves nothing yet. */
    OUTDATED
}
