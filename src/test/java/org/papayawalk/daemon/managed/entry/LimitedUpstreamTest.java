package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Sends requests through entries to two upstreams, of which one states a limit. */
public final class LimitedUpstreamTest {
    private static final double LIMIT_PER_SECOND = 1;

    private static final Duration WINDOW = Duration.ofSeconds(4);

    // Requests allowed in one window: one and a half times the limit, and five.
    private static final int ALLOWED = (int) (1.5 * LIMIT_PER_SECOND * WINDOW.toSeconds()) + 5;

    // Time after the first statement from which the limit has to be kept.
    private static final Duration CONTACT = Duration.ofSeconds(3);

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
        List<TestCaller> callers = List.of(fixture.caller());
        ManagedEntryFixture.await(
                () -> {
                    sendFor(Duration.ofMillis(10), callers);
                    return !fixture.first().seen().isEmpty();
                });
        checkWindow(callers);
    }

    /** Several entries share a limit, also with one that started later, and use its end. */
    @Test
    public void entriesShareTheLimitAndItsEnd() throws IOException {
        TestCaller second = fixture.addEntry();
        List<TestCaller> callers = List.of(fixture.caller(), second, fixture.addEntry());
        fixture.first().limit(LIMIT_PER_SECOND);
        sendFor(CONTACT, callers);
        checkWindow(callers);
        List<TestCaller> afterRestart = List.of(fixture.caller(), second, fixture.addEntry());
        sendFor(CONTACT, afterRestart);
        checkWindow(afterRestart);
        fixture.first().unlimited();
        for (TestCaller c : afterRestart) {
            fixture.first().seen().clear();
            ManagedEntryFixture.await(
                    () -> {
                        sendFor(Duration.ofMillis(10), List.of(c));
                        return fixture.first().seen().size() > ALLOWED;
                    });
        }
    }

    // Sends for one window and checks what the limited upstream got.
    private void checkWindow(List<TestCaller> callers) {
        fixture.first().seen().clear();
        sendFor(WINDOW, callers);
        int received = fixture.first().seen().size();
        assertTrue(received <= ALLOWED, received + " requests, allowed " + ALLOWED);
        assertTrue(received > 0, "the limit allows some requests");
    }

    private static void sendFor(Duration time, List<TestCaller> callers) {
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            for (TestCaller c : callers) {
                assertEquals(c.send("GET", "/read/x", "key-1").status(), 200);
            }
        }
    }
}
