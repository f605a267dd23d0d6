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

/** Stops an entry with a request under way. Proves that a planned stop interrupts nothing. */
public final class GracefulStopTest {
    /** Longest time of a stop, as the settings of the fixture grant it. */
    private static final Duration GRACE = Duration.ofSeconds(8);

    /** Stand-ins and entry. */
    private ManagedEntryFixture fixture;

    /**
     * Starts the site.
     *
     * @throws IOException if a port cannot be had
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the stand-ins.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * The entry says at once that it is not ready, still serves new connections, gives the request
     * under way its whole answer, and ends within the grace. A request that comes too late to be
     * sure of its end is refused at once.
     *
     * @throws InterruptedException if the wait is interrupted
     * @throws ExecutionException if the caller or the stop fails
     * @throws TimeoutException if one of them takes too long
     */
    @Test
    public void stopCompletesRequestsInFlight()
            throws InterruptedException, ExecutionException, TimeoutException {
        fixture.first().mode(Mode.HELD);
        fixture.second().mode(Mode.HELD);
        CompletableFuture<TestCaller.Answer> underWay =
                CompletableFuture.supplyAsync(
                        () -> fixture.caller().send("POST", "/pay/x", "key-1"));
        ManagedEntryFixture.await(
                () -> fixture.first().seen().size() + fixture.second().seen().size() == 1);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.role()::stop);
        ManagedEntryFixture.await(() -> !fixture.ready());
        fixture.first().release();
        fixture.second().release();
        TestCaller.Answer answer = underWay.get(GRACE.toMillis(), TimeUnit.MILLISECONDS);
        assertEquals(answer.status(), 200);
        assertEquals(answer.body(), "answer to " + fixture.caller().lastId());
        assertEquals(fixture.caller().send("GET", "/read/x", "key-1").status(), 200);
        stop.get(GRACE.toMillis(), TimeUnit.MILLISECONDS);
        TestCaller.Answer late = fixture.caller().send("GET", "/read/x", "key-1");
        assertEquals(late.status(), 503);
        assertTrue(late.head().toLowerCase().contains("retry-after"), late.head());
    }
}
