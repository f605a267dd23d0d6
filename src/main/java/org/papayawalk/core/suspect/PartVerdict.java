package org.papayawalk.core.suspect;

/** Verdict about a request by the parts of its prompt. Immutable. */
public enum PartVerdict {
    /** No part is suspected. */
    CLEAR,
    /**
     * A part is suspected, or refused parts cannot be told from one that this request lacks. The
     * request may run as a trial, see {@link PromptPartRegistry#beginTrial}.
     */
    TRIAL,
    /** A part has crashed too many upstreams. */
    REFUSED
}
