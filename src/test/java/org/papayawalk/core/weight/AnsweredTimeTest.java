package org.papayawalk.core.weight;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import org.testng.annotations.Test;

/** Verifies which time counts as one in which an engine answered. */
public final class AnsweredTimeTest {
    private static final Instant START = Instant.ofEpochSecond(1000);

    /** Polls at the usual interval count in full. */
    @Test
    public void timeBetweenPollsCounts() {
        AnsweredTime time = new AnsweredTime();
        for (int i = 0; i <= 10; i++) {
            time.answered(START.plusMillis(700L * i));
        }
        assertEquals(time.present(), Instant.ofEpochMilli(7000));
    }

    /** A freeze counts as one interval, and answers out of order count as nothing. */
    @Test
    public void freezeCountsAsOneGap() {
        AnsweredTime time = new AnsweredTime();
        time.answered(START);
        time.answered(START.plusSeconds(40));
        time.answered(START.plusSeconds(39));
        assertEquals(time.present(), Instant.ofEpochSecond(1));
    }
}
