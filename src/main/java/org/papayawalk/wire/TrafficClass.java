package org.papayawalk.wire;

/**
 * Kinds of traffic that use connections of their own, so that large chunks do not hold up requests.
 * Immutable.
 */
public enum TrafficClass {
    /** Heartbeats, configurations and requests. */
    LIVE(60),
    /** Chunks of weights. A host may ask any other for a chunk, so these end soon after use. */
    BULK(5);

    /** Time after which an unused connection is closed, in seconds. */
    private final int idleTimeoutSeconds;

    /**
     * Creates a lane.
     *
     * @param idleSeconds time after which an unused connection is closed
     */
    TrafficClass(int idleSeconds) {
        this.idleTimeoutSeconds = idleSeconds;
    }

    /**
     * Returns the time after which an unused connection is closed.
     *
     * @return seconds
     */
    int idleTimeoutSeconds() {
        return idleTimeoutSeconds;
    }
}
