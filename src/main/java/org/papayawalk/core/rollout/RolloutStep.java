package org.papayawalk.core.rollout;

/**
 * Progress of a host from the version that it serves to the version that its configuration wants.
 * The names of the constants are sent in heartbeats. Immutable.
 */
public enum RolloutStep {
    /** The wanted version or the state of the upstream is unknown. */
    UNKNOWN,
    /** The host fetches and seals the wanted version. */
    FETCHING,
    /** The wanted version is complete and verified, but not yet in service. */
    STAGED,
    /** New requests wait while the upstream switches to the wanted version. */
    SWITCHING,
    /** The upstream reports the wanted version, or is a service without weights. */
    SERVING
}
