package org.papayawalk.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Checks the time of a thread that stands still at times. */
public final class RunningTimeTest {
    private static final Instant START = Instant.EPOCH;

    private final RunningTime time = new RunningTime(START);

    /** A thread that ticks in time runs all the time. */
    @Test
    public void punctualTicksCountAll() {
        RunningTime punctual = new RunningTime(START);
        long gap = RunningTime.STANDSTILL.toMillis() - 1;
        for (long t = gap; t < 10_000; t += gap) {
            punctual.tick(at(t));
            assertEquals(punctual.at(at(t + gap)), at(t + gap));
            assertTrue(punctual.isSettled(at(t + gap)));
        }
    }

    /** A standstill does not count, neither while it lasts nor later. */
    @Test
    public void standstillDoesNotCount() {
        RunningTime paused = new RunningTime(START);
        paused.tick(at(50));
        assertEquals(paused.at(at(1350)), at(50));
        paused.tick(at(1350));
        assertEquals(paused.at(at(1350)), at(50));
        assertEquals(paused.at(at(1390)), at(90));
        paused.tick(at(1400));
        paused.tick(at(2400));
        assertEquals(paused.at(at(2450)), at(150));
    }

    /** What came during a standstill is read between the next two ticks. */
    @Test
    public void settlesAtSecondTickAfterStandstill() {
        time.tick(at(50));
        assertFalse(time.isSettled(at(1350)));
        time.tick(at(1350));
        assertFalse(time.isSettled(at(1399)));
        time.tick(at(1400));
        assertTrue(time.isSettled(at(1400)));
    }

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }
}
