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
    public void fastestRecentAnswerCounts() {
        answer(T0, 900);
        answer(T0.plusMillis(850), 100);
        assertEquals(estimate(1000), Duration.ofMillis(100));
    }

    /** While answers fail to arrive, the delay is at least the longest wait. */
    @Test
    public void waitForAnAnswerCounts() {
        answer(T0, 100);
        delays.sent(KEY, T0.plusMillis(100));
        assertEquals(estimate(150), Duration.ofMillis(100));
        assertEquals(estimate(1500), Duration.ofMillis(1400));
    }

    /** A request that was given up shows as before that messages take at least as long. */
    @Test
    public void endOfTheWaitDoesNotLowerTheEstimate() {
        ResponseDelays.Sent message = delays.sent(KEY, T0);
        delays.ended(message, T0.plusMillis(900));
        assertEquals(estimate(2000), Duration.ofMillis(900));
        assertEquals(estimate(9000), Duration.ofMillis(900));
        answer(T0.plusMillis(9000), 50);
        assertEquals(estimate(9060), Duration.ofMillis(50));
    }

    /** One silent upstream does not slow down a failure domain whose others answer. */
    @Test
    public void answerToALaterMessageEndsAnEarlierWait() {
        delays.sent(KEY, T0);
        answer(T0.plusMillis(1000), 80);
        assertEquals(estimate(3000), Duration.ofMillis(80));
    }

    /** A delay that has become longer replaces the shorter ones of earlier responses. */
    @Test
    public void laterAnswersReplaceEarlierOnes() {
        answer(T0, 100);
        answer(T0.plusMillis(100), 900);
        assertEquals(estimate(1100), Duration.ofMillis(900));
    }

    /** Nothing is known of a group some seconds after its last response. */
    @Test
    public void answersAreForgotten() {
        answer(T0, 900);
        assertEquals(estimate(5000), Duration.ZERO);
    }

    private void answer(Instant sentAt, long delayMillis) {
        delays.answered(KEY, delays.sent(KEY, sentAt), sentAt.plusMillis(delayMillis));
    }

    private Duration estimate(long millis) {
        return delays.estimate(KEY, T0.plusMillis(millis));
    }
}
