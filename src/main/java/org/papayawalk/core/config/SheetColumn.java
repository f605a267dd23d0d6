package org.papayawalk.core.config;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Columns of the planners' sheet. A file may have them in any order. Immutable. */
public enum SheetColumn {
    /** Name of the fleet. */
    FLEET,
    /** Kind of upstream: {@code model} or {@code service}. */
    KIND,
    /** Name of the model. */
    MODEL,
    /** Name of the adapter. */
    ADAPTER,
    /** Name of the version. */
    VERSION,
    /** SHA-256 digest of the version's manifest. */
    DIGEST,
    /** Scheduling weights of teams, such as {@code shop=3;helper=1}. */
    TEAM_WEIGHTS,
    /** Requests that one upstream runs concurrently. */
    MAX_IN_FLIGHT,
    /** Requests that may be queued for one upstream. */
    MAX_QUEUE,
    /** Hosts of one failure domain that may switch versions at the same time. */
    MAX_UNAVAILABLE,
    /** Whether upstreams check fencing numbers: {@code yes} or {@code no}. */
    CHECKS_FENCING,
    /** Calls that may run at most once, such as {@code POST /orders;POST /payments}. */
    NON_IDEMPOTENT;

    /**
     * Returns the name of the column in the header line.
     *
     * @return name of the constant in lower case
     */
    public String header() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the names of all columns in the header line.
     *
     * @return names in the order of the constants
     */
    public static List<String> headers() {
        return Arrays.stream(values()).map(SheetColumn::header).toList();
    }
}
