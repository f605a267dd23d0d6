package org.papayawalk.core;

/** Kinds of expected failure that are handled differently. Immutable. */
public enum FaultKind {
    /** The peer rejected the request. */
    REFUSED,
    /** A concurrent change was committed first. */
    CONFLICT,
    /** The request never reached the peer, so it had no effect. */
    UNREACHABLE,
    /** The request may have taken effect or not, for example after a timeout. */
    UNKNOWN_OUTCOME,
    /** The response is longer than its request allows; it was not read. */
    TOO_LONG,
    /** The received data does not match its digest or cannot be parsed. */
    CORRUPT
}
