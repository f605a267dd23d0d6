package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Stops an entry with a request in flight. Checks that a planned stop interrupts no request. */
public final class GracefulStopTest {
    /** Grace period in the settings of the fixture. */
    private static final Duration GRACE = Duration.ofSeconds(8);

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * A stopping entry reports at once that it is not ready, still serves new connections,
     * completes the request in flight, and exits within the grace period. A request that arrives
     * too late to complete is refused at once with a Retry-After delay.
     *
     * @throws InterruptedException if the wait is interrupted
     * @throws ExecutionException if the caller or the stop fails
     * @throws TimeoutException if one of them exceeds the grace period
     */
    @Test
    public void stopCompletesRequestsInFlight()
            throws InterruptedException, ExecutionException, TimeoutException {
        fixture.first().mode(Mode.HELD);
        fixture.second().mode(Mode.HELD);
        CompletableFuture<TestCaller.Response> inFlight =
                CompletableFuture.supplyAsync(
                        () -> fixture.caller().send("POST", "/pay/x", "key-1"));
        ManagedEntryFixture.await(
                () -> fixture.first().seen().size() + fixture.second().seen().size() == 1);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.role()::stop);
        ManagedEntryFixture.await(() -> !fixture.ready());
        fixture.first().release();
        fixture.second().release();
        TestCaller.Response response = inFlight.get(GRACE.toMillis(), TimeUnit.MILLISECONDS);
        assertEquals(response.status(), 200);
        assertEquals(response.body(), "answer to " + fixture.caller().lastId());
        assertEquals(fixture.caller().send("GET", "/read/x", "key-1").status(), 200);
        stop.get(GRACE.toMillis(), TimeUnit.MILLISECONDS);
        TestCaller.Response late = fixture.caller().send("GET", "/read/x", "key-1");
        assertEquals(late.status(), 503);
        assertTrue(late.head().toLowerCase().contains("retry-after"), late.head());
    }
}
