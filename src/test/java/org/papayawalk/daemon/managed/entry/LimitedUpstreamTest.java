package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Sends requests through an entry to two upstreams, of which one states a limit. */
public final class LimitedUpstreamTest {
    private static final double LIMIT_PER_SECOND = 1;

    private static final Duration WINDOW = Duration.ofSeconds(4);

    // Requests allowed in one window: one and a half times the limit, and five.
    private static final int ALLOWED = (int) (1.5 * LIMIT_PER_SECOND * WINDOW.toSeconds()) + 5;

    private ManagedEntryFixture fixture;

    /**
     * Starts the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /** An upstream that states a limit gets no more than that, and every caller is answered. */
    @Test
    public void upstreamGetsNoMoreThanTheLimitThatItStates() {
        fixture.first().limit(LIMIT_PER_SECOND);
        ManagedEntryFixture.await(() -> send() && !fixture.first().seen().isEmpty());
        fixture.first().seen().clear();
        long end = System.nanoTime() + WINDOW.toNanos();
        while (System.nanoTime() < end) {
            assertTrue(send());
        }
        int received = fixture.first().seen().size();
        assertTrue(received <= ALLOWED, received + " requests, allowed " + ALLOWED);
        assertTrue(received > 0, "the limit allows some requests");
    }

    private boolean send() {
        return fixture.caller().send("GET", "/read/x", "key-1").status() == 200;
    }
}
