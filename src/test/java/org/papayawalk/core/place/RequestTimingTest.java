package org.papayawalk.core.place;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Tests {@link RequestTiming} for a route with a timeout of 6 s and a target of 0.5 s. */
public final class RequestTimingTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration TIMEOUT = Duration.ofSeconds(6);

    private static final Duration TARGET = Duration.ofMillis(500);

    /** A first attempt becomes late when its target latency has passed. */
    @Test
    public void firstAttemptIsLateAfterItsTarget() {
        RequestTiming first = timing(T0.plus(TIMEOUT));
        assertFalse(first.isLate(T0));
        assertFalse(first.isLate(T0.plus(TARGET)));
        assertTrue(first.isLate(T0.plus(TARGET).plusMillis(1)));
        assertFalse(first.cameLate());
    }

    /** A caller who returns after a second has a second less left, and is late at once. */
    @Test
    public void returningCallerIsLateAtOnce() {
        assertTrue(timing(T0.plus(TIMEOUT).minusSeconds(1)).cameLate());
    }

    /** A repeat counts its way to the upstream. */
    @Test
    public void repeatMustArriveBeforeTheDeadline() {
        RequestTiming timing = timing(T0.plusMillis(1000));
        assertTrue(timing.leavesTime(Duration.ZERO, T0.plusMillis(900)));
        assertTrue(timing.leavesTime(Duration.ofMillis(800), T0));
        assertFalse(timing.leavesTime(Duration.ofMillis(1000), T0));
        assertFalse(timing.leavesTime(Duration.ofMillis(200), T0.plusMillis(800)));
    }

    private static RequestTiming timing(Instant deadline) {
        return new RequestTiming(T0, deadline, TIMEOUT, TARGET);
    }
}
