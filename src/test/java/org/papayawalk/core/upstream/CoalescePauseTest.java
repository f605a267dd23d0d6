package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.Test;

/** Reads of a table in calm, in a wave of changes, and in calm again. */
public final class CoalescePauseTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final Duration LONGEST = Duration.ofMillis(400);

    private final CoalescePause pause = new CoalescePause(LONGEST);

    /** Many hosts that register one after the other cost few reads; calm ends the wave. */
    @Test
    public void waveIsReadTogether() {
        Instant now = START;
        int reads = 0;
        while (now.isBefore(START.plusSeconds(15))) {
            Duration next = pause.afterChanges(now);
            assertTrue(next.compareTo(LONGEST) <= 0, "pause " + next);
            // There is always a change to read after the pause.
            now = now.plus(next).plusMillis(10);
            reads++;
        }
        assertTrue(reads <= 40, reads + " reads in 15 s");
        Instant later = now.plus(LONGEST).plus(CoalescePause.CALM).plusMillis(1);
        assertEquals(pause.afterChanges(later), CoalescePause.SHORTEST);
    }

    /** Changes that are far apart are each read at once. */
    @Test
    public void changesInCalmAreNotPutOff() {
        CoalescePause calm = new CoalescePause(LONGEST);
        for (int i = 0; i < 10; i++) {
            assertEquals(calm.afterChanges(START.plusSeconds(i)), CoalescePause.SHORTEST);
        }
    }

    /** A bound below the shortest pause does not shorten it. */
    @Test
    public void boundIsAtLeastTheShortestPause() {
        CoalescePause bounded = new CoalescePause(Duration.ofMillis(10));
        assertEquals(bounded.afterChanges(START), CoalescePause.SHORTEST);
        assertEquals(bounded.afterChanges(START.plusMillis(70)), CoalescePause.SHORTEST);
    }
}
