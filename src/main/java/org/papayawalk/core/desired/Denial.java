package org.papayawalk.core.desired;

/** Why the desired state does not allow a request. */
public enum Denial {
    /** No route has the host and a prefix of the path. */
    NO_ROUTE,
    /** The route needs a key, and none was given or no team holds it. */
    KEY_UNKNOWN
}
