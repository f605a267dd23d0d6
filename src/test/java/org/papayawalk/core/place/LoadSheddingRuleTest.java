package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.papayawalk.core.place.LoadSheddingRule.Outage;
import org.testng.annotations.Test;

/** Tests {@link LoadSheddingRule}. */
public final class LoadSheddingRuleTest {
    /** Target latency of the requests. */
    private static final Duration TARGET = Duration.ofMillis(400);

    /** Time until the deadline of a new request. */
    private static final Duration FULL_TIME = Duration.ofSeconds(6);

    private static final LoadSheddingRule RULE = LoadSheddingRule.DEFAULT;

    /** A request is refused at once while no upstream can answer. */
    @Test
    public void requestDoesNotWaitWhileNoUpstreamCanAnswer() {
        assertEquals(RULE.maxWait(TARGET, false, outage(0)), Duration.ZERO);
        assertTrue(RULE.maxWait(TARGET, false, Optional.empty()).compareTo(TARGET) < 0);
    }

    /** Callers retry once the first upstream is expected to answer, also late in an outage. */
    @Test
    public void callersRetryAfterExpectedRecovery() {
        for (long down : new long[] {0, 1_500, 3_500}) {
            Duration downFor = Duration.ofMillis(down);
            Duration after = RULE.retryAfter(TARGET, FULL_TIME, outage(down), 0);
            assertTrue(downFor.plus(after).compareTo(RULE.recoveryTime()) >= 0, "down " + downFor);
        }
        Duration after = RULE.retryAfter(TARGET, FULL_TIME, outage(60_000), 0);
        assertEquals(after, RULE.minRetryAfter());
    }

    /** The delay leaves enough time for an answer; it is the minimum if no time is left. */
    @Test
    public void callersRetryBeforeTheirDeadline() {
        Duration left = Duration.ofMillis(2000);
        Duration after = RULE.retryAfter(TARGET, left, outage(0), 0.99);
        assertTrue(after.plus(TARGET).compareTo(left) < 0, "after " + after);
        Duration atDeadline = RULE.retryAfter(TARGET, Duration.ZERO, Optional.empty(), 0.99);
        assertEquals(atDeadline, RULE.minRetryAfter());
    }

    /** The jitter spreads the retries over most of a second. */
    @Test
    public void retriesAreSpread() {
        Duration first = RULE.retryAfter(TARGET, FULL_TIME, Optional.empty(), 0);
        Duration last = RULE.retryAfter(TARGET, FULL_TIME, Optional.empty(), 0.999);
        assertTrue(last.minus(first).compareTo(Duration.ofMillis(800)) > 0);
    }

    /** Callers of an entry that has just started retry when staged weights are loaded. */
    @Test
    public void callersRetrySoonerAfterAStart() {
        Optional<Outage> start = Optional.of(new Outage(Duration.ofMillis(500), true));
        Duration after = RULE.retryAfter(TARGET, FULL_TIME, start, 0);
        assertEquals(after, RULE.startTime().minusMillis(500));
        assertTrue(after.compareTo(RULE.retryAfter(TARGET, FULL_TIME, outage(500), 0)) < 0);
    }

    // Returns the outage of an entry that has seen an upstream which could answer.
    private static Optional<Outage> outage(long millis) {
        return Optional.of(new Outage(Duration.ofMillis(millis), false));
    }
}
