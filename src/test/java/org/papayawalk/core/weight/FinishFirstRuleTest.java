package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests {@link FinishFirstRule} with a newer version requested during a download of 48 chunks. */
public final class FinishFirstRuleTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final FinishFirstRule RULE = new FinishFirstRule(1.0 / 3, Duration.ofSeconds(2));

    /** A version of which a third is held is finished, but not past the longest delay. */
    @Test
    public void finishesAVersionThatIsLargelyHeld() {
        assertTrue(RULE.finishes(16, 48, T0, T0.plusMillis(1999)));
        assertFalse(RULE.finishes(16, 48, T0, T0.plusMillis(2000)));
    }

    /** A version of which little is held, or nothing is known, gives way at once. */
    @Test
    public void abandonsAVersionThatHasHardlyBegun() {
        assertFalse(RULE.finishes(15, 48, T0, T0));
        assertFalse(RULE.finishes(0, 0, T0, T0));
    }

    /** A newer version that was requested before this daemon started is not delayed. */
    @Test
    public void doesNotDelayAVersionRequestedBeforeTheStart() {
        assertFalse(RULE.finishes(47, 48, Instant.MIN, T0));
    }
}
