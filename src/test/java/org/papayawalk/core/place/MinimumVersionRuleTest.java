package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalInt;
import org.testng.annotations.Test;

/** Tests {@link MinimumVersionRule} with versions requested in quick succession. */
public final class MinimumVersionRuleTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Rule with the deadline that is the default on the managed platform. */
    private final MinimumVersionRule rule = new MinimumVersionRule(Duration.ofSeconds(8));

    /** Older versions may answer at first, but no longer at the deadline. */
    @Test
    public void olderVersionsStopBeforeTheDeadline() {
        List<RequestedVersion> requested = List.of(new RequestedVersion(2, T0));
        assertTrue(rule.lowestAllowed(requested, Duration.ZERO, T0.plusSeconds(6)).isEmpty());
        assertEquals(
                rule.lowestAllowed(requested, Duration.ZERO, T0.plusSeconds(8)), OptionalInt.of(2));
    }

    /** A request for a newer version does not extend the time of older versions. */
    @Test
    public void gracePeriodStartsWithEachRequest() {
        List<RequestedVersion> requested =
                List.of(new RequestedVersion(2, T0), new RequestedVersion(3, T0.plusSeconds(4)));
        assertEquals(
                rule.lowestAllowed(requested, Duration.ZERO, T0.plusSeconds(8)), OptionalInt.of(2));
        assertEquals(
                rule.lowestAllowed(requested, Duration.ZERO, T0.plusSeconds(12)),
                OptionalInt.of(3));
    }

    /** A version that was requested before the daemon started has no grace period. */
    @Test
    public void versionFromBeforeTheStartHasNoGracePeriod() {
        List<RequestedVersion> requested = List.of(new RequestedVersion(5, Instant.MIN));
        assertEquals(rule.lowestAllowed(requested, Duration.ZERO, T0), OptionalInt.of(5));
    }

    /**
     * A request at an upstream with an older version must have begun before the deadline of the
     * next version, also if that is not the newest.
     */
    @Test
    public void requestMustHaveBegunBeforeTheNextVersionIsDue() {
        List<RequestedVersion> requested =
                List.of(new RequestedVersion(2, T0), new RequestedVersion(3, T0.plusSeconds(4)));
        assertTrue(
                rule.withdrawAt(requested, 1, Duration.ZERO)
                        .orElseThrow()
                        .isBefore(T0.plusSeconds(8)));
        assertTrue(
                rule.withdrawAt(requested, 1, Duration.ZERO)
                        .orElseThrow()
                        .isAfter(T0.plusSeconds(7)));
        assertTrue(
                rule.withdrawAt(requested, 2, Duration.ZERO)
                        .orElseThrow()
                        .isAfter(T0.plusSeconds(11)));
        assertTrue(rule.withdrawAt(requested, 3, Duration.ZERO).isEmpty());
    }

    /** A withdrawal that was sent in time arrives before the deadline, also if it takes long. */
    @Test
    public void slowMessagesBringTheWithdrawalForward() {
        List<RequestedVersion> requested = List.of(new RequestedVersion(2, T0));
        Duration delay = Duration.ofSeconds(2);
        Instant withdrawn = rule.withdrawAt(requested, 1, delay).orElseThrow();
        assertTrue(withdrawn.plus(delay).isBefore(T0.plusSeconds(8)));
        assertEquals(rule.lowestAllowed(requested, delay, withdrawn), OptionalInt.of(2));
    }

    /** Messages that take longer than a version has end its time at once. */
    @Test
    public void delayBeyondTheDeadlineEndsOlderVersionsAtOnce() {
        Duration delay = Duration.ofSeconds(10);
        List<RequestedVersion> early = List.of(new RequestedVersion(2, Instant.MIN));
        assertEquals(rule.lowestAllowed(early, delay, T0), OptionalInt.of(2));
        assertTrue(rule.withdrawAt(early, 1, delay).orElseThrow().isBefore(T0));
        List<RequestedVersion> requested = List.of(new RequestedVersion(2, T0));
        assertEquals(rule.lowestAllowed(requested, delay, T0), OptionalInt.of(2));
        assertTrue(rule.lowestAllowed(requested, delay, T0.minusMillis(1)).isEmpty());
    }
}
