package org.papayawalk.http;

import java.time.Duration;

/**
 * Bounds of one response. Immutable.
 *
 * @param quiet maximum time between two parts of the response
 * @param longest maximum time until the response is complete, connecting included
 * @param maxBytes maximum length of the response in bytes, with its heads and framing
 */
public record ResponseBounds(Duration quiet, Duration longest, int maxBytes) {
    /** Bound of every response in bytes, with its heads and framing. */
    public static final int MAX_BYTES = 8 * 1024 * 1024;
}
