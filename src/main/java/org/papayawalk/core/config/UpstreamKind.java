package org.papayawalk.core.config;

/** Kinds of upstream that a fleet consists of. Immutable. */
public enum UpstreamKind {
    /** Model engine that loads weights. */
    MODEL,
    /** Plain service that is only routed to. */
    SERVICE
}
