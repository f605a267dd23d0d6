package org.papayawalk.core.place;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ResponseDelays} with one group of requests. */
public final class ResponseDelaysTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    private static final String KEY = "luzon-a";

    private ResponseDelays<String> delays;

    /** Starts without requests. */
    @BeforeMethod
    public void reset() {
        delays = new ResponseDelays<>(Duration.ofMillis(600));
    }

    /** A response that waited in a queue says nothing of the link if a faster one came too. */
    @Test
    public void fastestRecentResponseCounts() {
        answer(T0, 900);
        answer(T0.plusMillis(850), 100);
        assertEquals(estimate(1000), Duration.ofMillis(100));
    }

    /** While responses fail to arrive, the delay is taken to be that of the longest wait. */
    @Test
    public void unansweredRequestsCountOnceNoResponseArrives() {
        answer(T0, 100);
        delays.sent(KEY, T0.plusMillis(100));
        assertEquals(estimate(600), Duration.ofMillis(100));
        assertEquals(estimate(1500), Duration.ofMillis(1400));
    }

    /** A request that ended without a response no longer counts. */
    @Test
    public void endedRequestDoesNotCount() {
        delays.ended(KEY, delays.sent(KEY, T0));
        assertEquals(estimate(2000), Duration.ZERO);
    }

    /** A delay that has become longer replaces the shorter ones of earlier responses. */
    @Test
    public void laterResponsesReplaceEarlierOnes() {
        answer(T0, 100);
        answer(T0.plusMillis(100), 900);
        assertEquals(estimate(1100), Duration.ofMillis(900));
    }

    /** Nothing is known of a group some seconds after its last response. */
    @Test
    public void responsesAreForgotten() {
        answer(T0, 900);
        assertEquals(estimate(5000), Duration.ZERO);
    }

    private void answer(Instant sentAt, long delayMillis) {
        delays.responded(KEY, delays.sent(KEY, sentAt), sentAt.plusMillis(delayMillis));
    }

    private Duration estimate(long millis) {
        return delays.estimate(KEY, T0.plusMillis(millis));
    }
}
