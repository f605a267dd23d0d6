package org.papayawalk.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.Test;

/** Spreads the switches of hosts that have staged a version at the same time. */
public final class SwitchScheduleTest {
    /** Some moment. */
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Time that an engine takes to finish what runs and to load, at the usual load. */
    private static final Duration SWITCH_DURATION = Duration.ofSeconds(1);

    /** At no moment do more than half of the hosts switch, if there is time to spread them. */
    @Test
    public void atMostHalfSwitchAtOnce() {
        int hosts = 18;
        Instant end = T0.plusMillis(4500);
        for (int at = 0; at < 4500; at += 50) {
            Instant now = T0.plusMillis(at);
            int switching = 0;
            for (int i = 0; i < hosts; i++) {
                Instant from = SwitchSchedule.switchTime(T0, Optional.of(end), (double) i / hosts);
                switching += !from.isAfter(now) && from.plus(SWITCH_DURATION).isAfter(now) ? 1 : 0;
            }
            assertTrue(switching <= hosts / 2, switching + " hosts switch " + at + " ms in");
        }
    }

    /** Every host has switched before the old version may not answer any more. */
    @Test
    public void lastHostSwitchesInTime() {
        Instant end = T0.plusMillis(4500);
        assertTrue(
                SwitchSchedule.switchTime(T0, Optional.of(end), 1)
                        .plus(SWITCH_DURATION)
                        .isBefore(end));
    }

    /** A host that serves nothing, or is late already, switches at once. */
    @Test
    public void hostWithNothingToLoseSwitchesAtOnce() {
        assertEquals(SwitchSchedule.switchTime(T0, Optional.empty(), 1), T0);
        assertEquals(SwitchSchedule.switchTime(T0, Optional.of(T0.minusSeconds(1)), 1), T0);
    }

    /**
     * So does one that started after the new version was named, when the old one had long ended.
     */
    @Test
    public void hostThatStartedLateSwitchesAtOnce() {
        assertEquals(SwitchSchedule.switchTime(T0, Optional.of(Instant.MIN), 0.5), T0);
    }
}
