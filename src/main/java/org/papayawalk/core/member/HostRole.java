package org.papayawalk.core.member;

/** Role of a daemon. Immutable. */
public enum HostRole {
    /** Receives requests from callers. */
    ENTRY,
    /** Forwards requests to one upstream beside it. */
    AGENT
}
