package org.papayawalk.core.member;

/** States that the host list gives. Immutable. */
public enum HostState {
    /** Takes part. */
    LIVE,
    /** Takes no new work and will go away. */
    LEAVING
}
