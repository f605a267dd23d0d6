package org.papayawalk.core.place;

/** Result of one attempt to send a request to an upstream. */
public enum AttemptResult {
    /** The upstream answered. */
    ANSWERED,
    /** The upstream answered with a server error. */
    SERVER_ERROR,
    /** The upstream stated that it did not execute the request. */
    REFUSED,
    /** The connection could not be opened. */
    UNREACHABLE,
    /** The connection was lost, the response was malformed, or the attempt timed out. */
    BROKEN,
    /** The caller disconnected, or the request ended for another reason. */
    CANCELLED
}
