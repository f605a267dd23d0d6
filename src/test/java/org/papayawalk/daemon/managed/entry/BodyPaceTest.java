package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Checks which bodies are expected to end before the deadline of their request. */
public final class BodyPaceTest {
    private static final Instant START = Instant.EPOCH;

    private static final Instant NOW = START.plusMillis(1000);

    private static final Instant DEADLINE = START.plusMillis(1500);

    /** A slow body whose rest comes by the deadline at its rate is let alone. */
    @Test
    public void slowBodyEndsInTime() {
        assertTrue(new BodyPace(START, 300, 200).endsInTime(NOW, DEADLINE));
        assertTrue(new BodyPace(START, 200, 200).endsInTime(NOW, DEADLINE));
    }

    /** A body whose rest needs longer than to the deadline does not end in time. */
    @Test
    public void longBodyDoesNotEndInTime() {
        assertFalse(new BodyPace(START, 301, 200).endsInTime(NOW, DEADLINE));
        assertFalse(new BodyPace(START, Long.MAX_VALUE, 200).endsInTime(NOW, DEADLINE));
    }

    /** A body without a stated length, or of which nothing has come, has no expected end. */
    @Test
    public void bodyWithoutLengthHasNoExpectedEnd() {
        assertFalse(new BodyPace(START, -1, 200).endsInTime(NOW, DEADLINE));
        assertFalse(new BodyPace(START, 300, 0).endsInTime(NOW, DEADLINE));
    }
}
