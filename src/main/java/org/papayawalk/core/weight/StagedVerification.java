package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.upstream.EngineReport;

/**
 * Verification of a staged version, on which a load order is based. It says nothing about chunks
 * that changed after they were read, so it becomes outdated with time, and at once when the engine
 * was restarted or has accepted an order. Immutable.
 *
 * @param basis report of the engine before the verification
 * @param startedAt when the first chunk was about to be read, on the monotonic clock
 * @param startedAtTimeOfDay the same by the time of day, which also counts the time for which a
 *     machine is suspended
 */
public record StagedVerification(
        EngineReport basis, Instant startedAt, Instant startedAtTimeOfDay) {
    /** Well under the 3 s for which a chunk that turned bad at the engine is excused. */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);

    /**
     * Returns whether the version may be ordered on the strength of this verification. If the time
     * of day was set back since the start, it may not, as the age is not known then.
     *
     * @param latest report of the engine after the verification
     * @param now present time on the monotonic clock
     * @param timeOfDay present time of day
     * @return true if the engine is in the state before the verification, and that is recent
     */
    public boolean allowsOrder(EngineReport latest, Instant now, Instant timeOfDay) {
        return latest.incarnation() == basis.incarnation()
                && latest.orders() == basis.orders()
                && isRecent(startedAt, now)
                && isRecent(startedAtTimeOfDay, timeOfDay);
    }

    private static boolean isRecent(Instant start, Instant end) {
        Duration age = Duration.between(start, end);
        return !age.isNegative() && age.compareTo(MAX_AGE) <= 0;
    }
}
