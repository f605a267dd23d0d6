package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits on the crashes that count against a part of prompts. Immutable.
 *
 * @param suspectedFrom number of crashes from which requests with the part run as trials only
 * @param refusedFrom number of crashes from which requests with the part are refused
 * @param minAge time that has to pass after the first crash without a complete answer
 */
record CrashLimits(int suspectedFrom, int refusedFrom, Duration minAge) {

    /**
     * Returns whether a part runs as trials only.
     *
     * @param crashes crashes that count against the part
     * @param firstCrash first of them
     * @param now present time
     * @return true if there are enough, and for long enough
     */
    boolean suspects(int crashes, Instant firstCrash, Instant now) {
        return crashes >= suspectedFrom && !firstCrash.plus(minAge).isAfter(now);
    }

    /**
     * Returns whether a part is refused.
     *
     * @param crashes crashes that count against the part
     * @param firstCrash first of them
     * @param now present time
     * @return true if there are enough, and for long enough
     */
    boolean refuses(int crashes, Instant firstCrash, Instant now) {
        return crashes >= refusedFrom && !firstCrash.plus(minAge).isAfter(now);
    }
}
