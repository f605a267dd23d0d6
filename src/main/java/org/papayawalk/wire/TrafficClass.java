package org.papayawalk.wire;

/**
 * Class of traffic. Each class uses connections of its own, so that large chunks do not delay
 * requests. Immutable.
 */
public enum TrafficClass {
    /** Heartbeats, configurations and requests. */
    LIVE(60),
    /**
     * Chunks of weights. Connections close soon after use, since a host may fetch chunks from every
     * other host and would otherwise keep a connection to each.
     */
    BULK(5);

    private final int idleTimeoutSeconds;

    /**
     * Creates a class of traffic.
     *
     * @param idleTimeoutSeconds time in seconds after which an unused connection is closed
     */
    TrafficClass(int idleTimeoutSeconds) {
        this.idleTimeoutSeconds = idleTimeoutSeconds;
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
