package org.papayawalk.adapter.standalone;

/** Outcome of a configuration change. Immutable. */
public enum ApplyResult {
    /** The change was accepted. */
    ACCEPTED,
    /** Another change was accepted first; this one never will be. */
    CONFLICT,
    /** The change was not accepted. */
    REFUSED,
    /** The change may have been accepted; the configuration has to be read to find out. */
    UNKNOWN
}
