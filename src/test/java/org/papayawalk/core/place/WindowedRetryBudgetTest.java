package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Spends the budget for repeats on several entries that do not talk to each other. */
public final class WindowedRetryBudgetTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Entries that share the bound. */
    private static final int ENTRIES = 6;

    /** Requests that each entry takes in one window. */
    private static final int REQUESTS = 50;

    /** All entries together stay within the bound of the site, whatever fails. */
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
        assertTrue(granted <= bound, granted + " repeats exceed " + bound);
        assertTrue(granted >= bound / 2, granted + " repeats leave most of " + bound);
    }

    /** What was spent comes back when the window has passed. */
    @Test
    public void budgetComesBackAfterTheWindow() {
        WindowedRetryBudget budget = budget(0, 2);
        assertTrue(budget.tryAcquire(1, T0));
        assertFalse(budget.tryAcquire(1, T0));
        assertTrue(budget.tryAcquire(1, T0.plusSeconds(11)));
        assertEquals(budget.tryAcquire(1, T0.plusSeconds(11)), false);
    }

    /**
     * Makes a budget with a window of ten seconds.
     *
     * @param ratio repeats for each request
     * @param slack repeats besides
     * @return budget
     */
    private static WindowedRetryBudget budget(double ratio, double slack) {
        return new WindowedRetryBudget(ratio, slack, Duration.ofSeconds(10));
    }
}
