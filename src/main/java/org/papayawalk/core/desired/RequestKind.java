package org.papayawalk.core.desired;

/** Kinds of request by whether they may be retried. */
public enum RequestKind {
    /** Idempotent; may run more than once. */
    SAFE,
    /** Runs at most once for each request that a caller sends. */
    NON_IDEMPOTENT,
    /** Answered with a stream of events; may be retried only if the route allows resumption. */
    STREAMING
}
