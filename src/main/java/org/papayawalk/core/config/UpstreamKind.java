package org.papayawalk.core.config;

/** Kinds of upstream. All upstreams of a fleet are of the same kind. Immutable. */
public enum UpstreamKind {
    /** Model engine that loads weights. */
    MODEL,
    /** Plain HTTP service, which has no weights. */
    SERVICE
}
