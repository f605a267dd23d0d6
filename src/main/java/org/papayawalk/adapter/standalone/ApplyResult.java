package org.papayawalk.adapter.standalone;

/** How a change of the configuration ended. Immutable. */
public enum ApplyResult {
    /** It is accepted. */
    ACCEPTED,
    /** Another change came first; this one is not and will not be accepted. */
    CONFLICT,
    /** It was not accepted. */
    REFUSED,
    /** It may have been accepted. */
    UNKNOWN
}
