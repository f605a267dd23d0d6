package org.papayawalk.core.place;

/** How one sending of a request to an upstream ended. */
public enum AttemptResult {
    /** The upstream answered. */
    ANSWERED,
    /** The upstream answered with a failure of its own. */
    SERVER_ERROR,
    /** The upstream stated that it did not run the request. */
    REFUSED,
    /** The connection could not be opened. */
    UNREACHABLE,
    /** The connection was lost, the answer was no answer, or none came in time. */
    BROKEN,
    /** The caller left, or the request was over for another reason. */
    CANCELLED
}
