package org.papayawalk.wire;

/**
 * Kinds of traffic that use connections of their own, so that large chunks do not hold up requests.
 * Immutable.
 */
public enum Lane {
    /** Heartbeats, configurations and requests. */
    LIVE,
    /** Chunks of weights. */
    BULK
}
