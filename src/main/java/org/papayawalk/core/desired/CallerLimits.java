package org.papayawalk.core.desired;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how long it may take. Immutable.
 *
 * @param maxHeaderBytes longest request line and headers together
 * @param maxBodyBytes longest body
 * @param headerTimeout longest time from the first byte of a request to the end of its headers
 * @param idleTimeout longest time that a connection stays open without a request
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits before any desired state is known. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
