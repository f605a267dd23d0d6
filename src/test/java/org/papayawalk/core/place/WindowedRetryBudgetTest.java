package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests {@link WindowedRetryBudget}. */
public final class WindowedRetryBudgetTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Number of entries that share the bound. */
    private static final int ENTRIES = 6;

    /** Requests that each entry receives in one window. */
    private static final int REQUESTS = 50;

    /** All entries together stay within the operators' bound, but use at least half of it. */
    @Test
    public void entriesTogetherStayWithinTheBound() {
        double ratio = 0.2;
        double slack = 100;
        int granted = 0;
        for (int e = 0; e < ENTRIES; e++) {
            WindowedRetryBudget budget = budget(ratio, slack);
            for (int i = 0; i < REQUESTS; i++) {
                Instant now = T0.plusMillis(i * 100L);
                budget.requestReceived(now);
                for (int k = 0; k < 10; k++) {
                    granted += budget.tryAcquire(ENTRIES, now) ? 1 : 0;
                }
            }
        }
        double bound = ratio * REQUESTS * ENTRIES + slack;
        assertTrue(granted <= bound, granted + " retries exceed " + bound);
        assertTrue(granted >= bound / 2, granted + " retries leave most of " + bound);
    }

    /** Retries can be made again when the earlier ones have left the window. */
    @Test
    public void budgetIsReplenishedAfterTheWindow() {
        WindowedRetryBudget budget = budget(0, 2);
        assertTrue(budget.tryAcquire(1, T0));
        assertFalse(budget.tryAcquire(1, T0));
        assertTrue(budget.tryAcquire(1, T0.plusSeconds(11)));
        assertEquals(budget.tryAcquire(1, T0.plusSeconds(11)), false);
    }

    // Returns a budget with a window of ten seconds.
    private static WindowedRetryBudget budget(double ratio, double slack) {
        return new WindowedRetryBudget(ratio, slack, Duration.ofSeconds(10));
    }
}
