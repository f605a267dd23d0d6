package org.papayawalk.core;

import java.util.Locale;

/** Outcome of a request, as reported to its caller. Immutable. */
public enum Outcome {
    /** The answer is complete. */
    ANSWERED,
    /** The request did not run and will not run; the caller may retry it. */
    NOT_RUN,
    /** The request may have run; only an idempotent one may be retried. */
    UNKNOWN;

    /**
     * Returns the label used in headers, logs and metrics.
     *
     * @return name of the constant in lower case, with dashes
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
