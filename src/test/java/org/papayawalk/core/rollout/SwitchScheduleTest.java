package org.papayawalk.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests {@link SwitchSchedule} with hosts that stage a version at the same time. */
public final class SwitchScheduleTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    /** Time in which an engine finishes its requests and loads a version, at normal load. */
    private static final Duration SWITCH_DURATION = Duration.ofSeconds(1);

    /** At most half of the hosts switch at the same time if the remaining time permits it. */
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
            assertTrue(switching <= hosts / 2, switching + " hosts switch at " + at + " ms");
        }
    }

    /** The last host has switched before the old version may no longer answer. */
    @Test
    public void lastHostSwitchesInTime() {
        Instant end = T0.plusMillis(4500);
        assertTrue(
                SwitchSchedule.switchTime(T0, Optional.of(end), 1)
                        .plus(SWITCH_DURATION)
                        .isBefore(end));
    }

    /** A host without a version in service, or past the end of it, switches without delay. */
    @Test
    public void hostWithoutServingVersionSwitchesAtOnce() {
        assertEquals(SwitchSchedule.switchTime(T0, Optional.empty(), 1), T0);
        assertEquals(SwitchSchedule.switchTime(T0, Optional.of(T0.minusSeconds(1)), 1), T0);
    }

    /**
     * A host that starts after the old version has ended switches without delay. Its end is then
     * {@link Instant#MIN}, the earliest instant.
     */
    @Test
    public void hostThatStartedLateSwitchesAtOnce() {
        assertEquals(SwitchSchedule.switchTime(T0, Optional.of(Instant.MIN), 0.5), T0);
    }
}
