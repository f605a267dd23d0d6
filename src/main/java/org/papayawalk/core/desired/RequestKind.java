package org.papayawalk.core.desired;

/** What may be repeated of a request. */
public enum RequestKind {
    /** Idempotent: it may run more than once. */
    SAFE,
    /** It runs at most once for each attempt of a caller. */
    NON_IDEMPOTENT,
    /** Its answer is a stream of events; repeatable only where the route allows resuming. */
    STREAMING
}
