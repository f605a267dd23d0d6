package org.papayawalk.core.member;

/** State of a host according to the host list. Immutable. */
public enum HostState {
    /** The host takes work. */
    LIVE,
    /** The host takes no new work and will be removed. */
    LEAVING
}
