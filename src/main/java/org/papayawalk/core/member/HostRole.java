package org.papayawalk.core.member;

/** Roles of a daemon. Immutable. */
public enum HostRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Stands before one upstream. */
    AGENT
}
