package org.papayawalk.core.admit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.desired.RequestKind;
import org.testng.annotations.Test;

/** Requests that arrive at any time of a stop. */
public final class StopScheduleTest {
    private static final Instant STOP = Instant.parse("2026-01-01T00:00:00Z");

    private static final StopSchedule SCHEDULE =
            new StopSchedule(STOP.plusMillis(2800), STOP.plusMillis(7400));

    /** A request that may run once is taken only if its deadline lies before the end. */
    @Test
    public void requestThatMayRunOnceEndsBeforeTheProcess() {
        for (int at = 0; at < 8000; at += 100) {
            for (int timeout = 100; timeout < 12_000; timeout += 100) {
                Instant now = STOP.plusMillis(at);
                Instant deadline = now.plusMillis(timeout);
                boolean taken = SCHEDULE.accepts(RequestKind.NON_IDEMPOTENT, deadline, now);
                boolean ends = !deadline.isAfter(SCHEDULE.endsAt());
                assertTrue(taken == (ends && at <= 2800), at + " ms, timeout " + timeout + " ms");
            }
        }
    }

    /** Requests that may be repeated are taken for a while, however long they may take. */
    @Test
    public void otherRequestsAreTakenForAWhile() {
        Duration timeout = Duration.ofSeconds(30);
        Instant early = STOP.plusMillis(2700);
        assertTrue(SCHEDULE.accepts(RequestKind.STREAMING, early.plus(timeout), early));
        assertTrue(SCHEDULE.accepts(RequestKind.SAFE, early.plus(timeout), early));
        Instant late = STOP.plusMillis(2900);
        assertFalse(SCHEDULE.accepts(RequestKind.SAFE, late.plusMillis(10), late));
    }

    /** No connection is closed while its process serves or its request may be on its way. */
    @Test
    public void newConnectionIsLeftOpenForItsRequest() {
        Instant late = STOP.plusMillis(2900);
        assertFalse(SCHEDULE.closesIdle(late, late.plusMillis(499)));
        assertTrue(SCHEDULE.closesIdle(late, late.plusMillis(500)));
        assertFalse(SCHEDULE.closesIdle(STOP, STOP.plusMillis(2800)));
        assertTrue(SCHEDULE.closesIdle(STOP, STOP.plusMillis(2801)));
    }
}
