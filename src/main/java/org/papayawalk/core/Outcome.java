package org.papayawalk.core;

import java.util.Locale;

/** What a caller is told about its request. Immutable. */
public enum Outcome {
    /** The answer is whole. */
    ANSWERED,
    /** The request did not run and will not. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN;

    /**
     * Returns the name used in headers and logs.
     *
     * @return lower-case words with a dash
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
