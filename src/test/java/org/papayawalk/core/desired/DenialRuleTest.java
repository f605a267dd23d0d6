package org.papayawalk.core.desired;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decides on denials by desired states of different ages. */
public final class DenialRuleTest {
    private static final Instant NOW = Instant.EPOCH;

    private static final DenialRule RULE = new DenialRule(Duration.ofSeconds(3));

    /**
     * Returns proofs and decisions.
     *
     * @return rows of a time in milliseconds before the present, and whether a denial is allowed
     */
    @DataProvider
    public Object[][] proofs() {
        return new Object[][] {{0, true}, {1500, true}, {3000, true}, {3001, false}, {9000, false}};
    }

    /**
     * A state denies requests for as long as a change may take.
     *
     * @param millisAgo time until which the state has every change
     * @param allowed expected decision
     */
    @Test(dataProvider = "proofs")
    public void onlyProvenStateDenies(int millisAgo, boolean allowed) {
        assertEquals(RULE.allowsDenial(NOW.minusMillis(millisAgo), NOW), allowed);
    }

    /** A state of which nothing is proven denies nothing. */
    @Test
    public void unprovenStateDeniesNothing() {
        assertEquals(RULE.allowsDenial(Instant.MIN, NOW), false);
    }
}
