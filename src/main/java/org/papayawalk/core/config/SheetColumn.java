package org.papayawalk.core.config;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Columns of the planners' sheet, in any order in a file. Immutable. */
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
    /** SHA-256 of the version's manifest. */
    DIGEST,
    /** Shares of teams, such as {@code shop=3;helper=1}. */
    TEAM_WEIGHTS,
    /** Requests that one upstream runs at once. */
    MAX_IN_FLIGHT,
    /** Requests that wait at one upstream. */
    MAX_QUEUE,
    /** Hosts of one failure domain that may switch at once. */
    MAX_UNAVAILABLE,
    /** Whether upstreams check fencing numbers: {@code yes} or {@code no}. */
    CHECKS_FENCING,
    /** Calls that may run at most once, such as {@code POST /orders;POST /payments}. */
    NON_IDEMPOTENT;

    /**
     * Returns the name in the heading line.
     *
     * @return lower-case name
     */
    public String header() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns all headings.
     *
     * @return names in their usual order
     */
    public static List<String> headers() {
        return Arrays.stream(values()).map(SheetColumn::header).toList();
    }
}
