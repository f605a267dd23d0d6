package org.papayawalk.core.desired;

/** Reasons for which {@link RequestAuthorizer} denies a request. */
public enum Denial {
    /** No route matches the host and a prefix of the path. */
    NO_ROUTE,
    /** The route needs an API key, and the request carries none or one that no team holds. */
    KEY_UNKNOWN
}
