package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

/** Requests to an origin that fails and serves again. */
public final class OriginBackoffTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private static final Instant LATER = START.plus(OriginBackoff.PROBE_INTERVAL);

    /** While the origin serves, nothing is put off. */
    @Test
    public void servingOriginIsAskedAtOnce() {
        OriginBackoff backoff = new OriginBackoff();
        assertTrue(backoff.allows(START));
        backoff.sent(START);
        assertTrue(backoff.allows(START));
        backoff.ended(true, START);
        assertTrue(backoff.allows(START));
    }

    /** After a failure, one request is sent in each interval, whatever becomes of those before. */
    @Test
    public void failedOriginIsAskedAtIntervals() {
        OriginBackoff backoff = new OriginBackoff();
        backoff.ended(false, START);
        backoff.ended(false, START.plusMillis(50));
        assertFalse(backoff.allows(LATER.minusMillis(1)));
        assertTrue(backoff.allows(LATER));
        backoff.sent(LATER);
        assertFalse(backoff.allows(LATER));
        assertTrue(backoff.allows(LATER.plus(OriginBackoff.PROBE_INTERVAL)));
        backoff.ended(false, LATER.plusMillis(1));
        assertTrue(backoff.allows(LATER.plus(OriginBackoff.PROBE_INTERVAL)));
    }

    /** The first chunk that arrives ends that. */
    @Test
    public void successEndsTheIntervals() {
        OriginBackoff backoff = new OriginBackoff();
        backoff.ended(false, START);
        backoff.sent(LATER);
        backoff.ended(true, LATER);
        assertTrue(backoff.allows(LATER));
    }
}
