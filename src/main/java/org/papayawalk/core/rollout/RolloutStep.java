package org.papayawalk.core.rollout;

/** How far a host has come on the way to its wanted version. Immutable. */
public enum RolloutStep {
    /** The wanted version or the upstream's state is not known. */
    UNKNOWN,
    /** Chunks of the wanted version are being fetched. */
    FETCHING,
    /** The whole version stands verified beside the serving one. */
    STAGED,
    /** New requests wait while the upstream changes over. */
    SWITCHING,
    /** The upstream reports the wanted version, or needs none. */
    SERVING
}
