package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tells refused callers when to come back. */
public final class LoadSheddingRuleTest {
    /** Target of the requests. */
    private static final Duration TARGET = Duration.ofMillis(400);

    /** Time that a caller has at the start. */
    private static final Duration FULL_TIME = Duration.ofSeconds(6);

    /** Rule of the product. */
    private static final LoadSheddingRule RULE = LoadSheddingRule.DEFAULT;

    /** A request that no upstream can answer does not wait. */
    @Test
    public void requestThatNobodyCanAnswerDoesNotWait() {
        assertEquals(RULE.maxWait(TARGET, Optional.of(Duration.ZERO)), Duration.ZERO);
        assertTrue(RULE.maxWait(TARGET, Optional.empty()).compareTo(TARGET) < 0);
    }

    /** Its caller comes back when the first upstream is expected, also later in the outage. */
    @Test
    public void callersComeBackWhenUpstreamsDo() {
        for (long down : new long[] {0, 1_500, 3_500}) {
            Duration sofar = Duration.ofMillis(down);
            Duration after = RULE.retryAfter(TARGET, FULL_TIME, Optional.of(sofar), 0);
            assertTrue(sofar.plus(after).compareTo(RULE.recoveryTime()) >= 0, "down " + sofar);
        }
        Duration hour = Duration.ofSeconds(60);
        Duration after = RULE.retryAfter(TARGET, FULL_TIME, Optional.of(hour), 0);
        assertEquals(after, RULE.minRetryAfter());
    }

    /** No caller is told to come back when its time is over, unless it is over already. */
    @Test
    public void callersComeBackInTheirTime() {
        Duration left = Duration.ofMillis(2000);
        Duration after = RULE.retryAfter(TARGET, left, Optional.of(Duration.ZERO), 0.99);
        assertTrue(after.plus(TARGET).compareTo(left) < 0, "after " + after);
        Duration none = RULE.retryAfter(TARGET, Duration.ZERO, Optional.empty(), 0.99);
        assertEquals(none, RULE.minRetryAfter());
    }

    /** Returns are spread. */
    @Test
    public void returnsAreSpread() {
        Duration first = RULE.retryAfter(TARGET, FULL_TIME, Optional.empty(), 0);
        Duration last = RULE.retryAfter(TARGET, FULL_TIME, Optional.empty(), 0.999);
        assertTrue(last.minus(first).compareTo(Duration.ofMillis(800)) > 0);
    }
}
