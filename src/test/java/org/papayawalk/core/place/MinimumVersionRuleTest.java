package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Names versions in quick succession. */
public final class MinimumVersionRuleTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Rule with the limit of the users' sites. */
    private final MinimumVersionRule rule = new MinimumVersionRule(Duration.ofSeconds(8));

    /** Old versions answer at first, and not at the limit. */
    @Test
    public void oldVersionsStopBeforeTheLimit() {
        List<RequestedVersion> named = List.of(new RequestedVersion(2, T0));
        assertTrue(rule.lowestAllowed(named, T0.plusSeconds(6)).isEmpty());
        assertEquals(rule.lowestAllowed(named, T0.plusSeconds(8)), OptionalInt.of(2));
    }

    /** A newer version does not give the one before it more time. */
    @Test
    public void eachVersionIsJudgedFromItsOwnNaming() {
        List<RequestedVersion> named =
                List.of(new RequestedVersion(2, T0), new RequestedVersion(3, T0.plusSeconds(4)));
        assertEquals(rule.lowestAllowed(named, T0.plusSeconds(8)), OptionalInt.of(2));
        assertEquals(rule.lowestAllowed(named, T0.plusSeconds(12)), OptionalInt.of(3));
    }

    /** A version that was named before the daemon started counts at once. */
    @Test
    public void versionFromBeforeTheStartCountsAtOnce() {
        List<RequestedVersion> named = List.of(new RequestedVersion(5, Instant.MIN));
        assertEquals(rule.lowestAllowed(named, T0), OptionalInt.of(5));
    }
}
