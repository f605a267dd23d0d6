package org.papayawalk.core.desired;

import java.time.Duration;

/**
 * Size and time limits on callers' requests and connections. Immutable.
 *
 * @param maxHeaderBytes maximum length of the request line and, separately, of all headers
 * @param maxBodyBytes maximum length of a request body
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param idleTimeout maximum time that a connection stays open without a request, and maximum time
 *     from the end of the headers to the end of the body
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply until a desired state is received, and to those that it omits. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
