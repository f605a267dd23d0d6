package org.papayawalk.core;

/** Kinds of expected failure, as far as callers treat them differently. Immutable. */
public enum FaultKind {
    /** The peer answered that it will not do this. */
    REFUSED,
    /** Another change came first. */
    CONFLICT,
    /** The request never reached the peer, so it had no effect. */
    UNREACHABLE,
    /** The request may or may not have had its effect. */
    UNKNOWN_OUTCOME,
    /** What arrived does not match its digest or its form. */
    CORRUPT
}
