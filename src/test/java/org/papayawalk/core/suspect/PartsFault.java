package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;

/**
 * Fault that bad parts have no share in. Immutable.
 *
 * @param kind what happens
 * @param at when it begins
 * @param lasting how long an entry is in trouble
 * @param index number of the entry or domain
 * @param count number of upstreams that crash
 */
record PartsFault(Kind kind, Instant at, Duration lasting, int index, int count) {
    /** What may happen. */
    enum Kind {
        /** An entry ends, and starts again without what it knew. */
        RESTART,
        /** An entry stands still, and so does its clock. */
        FREEZE,
        /** An entry reaches the upstreams, but not the other entries. */
        CUT,
        /** Some upstreams crash at once. */
        CRASH,
        /** All upstreams of a domain crash at once. */
        DOMAIN
    }

    /**
     * Returns when the fault is over.
     *
     * @return end, without the time in which upstreams come back
     */
    Instant until() {
        return at.plus(lasting);
    }

    /**
     * Returns whether it happens to an entry.
     *
     * @return false if it happens to upstreams
     */
    boolean isOfEntry() {
        return kind == Kind.RESTART || kind == Kind.FREEZE || kind == Kind.CUT;
    }
}
