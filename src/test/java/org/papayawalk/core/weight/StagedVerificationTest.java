package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.upstream.EngineReport;
import org.testng.annotations.Test;

/** Verifies when a verification of staged chunks is outdated. */
public final class StagedVerificationTest {
    private static final Instant START = Instant.EPOCH;

    /** By the time of day, which has nothing in common with the monotonic clock. */
    private static final Instant START_OF_DAY = Instant.ofEpochSecond(1_000_000);

    private static final StagedVerification VERIFICATION =
            new StagedVerification(report(1, 0), START, START_OF_DAY);

    /** Nothing has changed, and the verification took half a second. */
    @Test
    public void recentVerificationOfTheSameStateAllowsAnOrder() {
        assertTrue(allows(report(1, 0), 500, 500));
    }

    /** The number of orders is the same after a restart of an engine that had accepted none. */
    @Test
    public void restartedEngineNeedsAnotherVerification() {
        assertFalse(allows(report(2, 0), 500, 500));
    }

    /** The engine has accepted an order meanwhile. */
    @Test
    public void acceptedOrderNeedsAnotherVerification() {
        assertFalse(allows(report(1, 1), 500, 500));
    }

    /** The calls of the verification were slow. */
    @Test
    public void slowVerificationIsOutdated() {
        assertFalse(allows(report(1, 0), 2500, 2500));
    }

    /** The monotonic clock does not count the time for which the machine was suspended. */
    @Test
    public void verificationAcrossASuspensionIsOutdated() {
        assertFalse(allows(report(1, 0), 500, 60_000));
    }

    /** A time of day that jumps never makes a slow verification recent. */
    @Test
    public void timeOfDaySetBackNeverAllowsAnOrder() {
        assertFalse(allows(report(1, 0), 500, -60_000));
        assertFalse(allows(report(1, 0), 2500, 0));
    }

    private static boolean allows(EngineReport latest, long millis, long millisOfDay) {
        return VERIFICATION.allowsOrder(
                latest, START.plusMillis(millis), START_OF_DAY.plusMillis(millisOfDay));
    }

    private static EngineReport report(long incarnation, long orders) {
        return new EngineReport(incarnation, Map.of(), false, orders, 0, 0);
    }
}
