package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.daemon.managed.EndlessBytes;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Upstreams send bodies without end to many requests of several entries at once. Checks that the
 * memory for them is bounded and freed, that each request ends in time, and that an entry which is
 * started meanwhile serves.
 */
public final class EndlessMemoryTest {
    /** Requests at once at each of two entries. */
    private static final int REQUESTS = 16;

    /** Bound of an entry's buffers, in bytes. */
    private static final long MAX_BUFFERED_BYTES = 24 * 1024 * 1024;

    private static final long TIMEOUT_SLACK_MILLIS = 500;

    private static final EndlessBytes CHUNKS =
            EndlessBytes.fast(
                    "chunks", EndlessBytes.CHUNKED, "400\r\n" + "a".repeat(1024) + "\r\n");

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private EndlessChecks checks;

    /**
     * Starts the fakes and the first entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        checks = new EndlessChecks();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        threads.shutdownNow();
        checks.close();
    }

    /**
     * Many endless bodies at once, a restart between two rounds of them.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void memoryIsBounded() throws IOException {
        ManagedEntryFixture fixture = checks.fixture();
        TestCaller second = fixture.addEntry();
        checkRound(List.of(fixture.caller(), second));
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(fixture.role()::stop, threads);
        TestCaller restarted = fixture.addEntry();
        checkRound(List.of(second, restarted));
        stopped.join();
        checks.setEndless(CHUNKS, 0, Mode.WHOLE);
        for (TestCaller c : List.of(second, restarted)) {
            ManagedEntryFixture.await(() -> c.send("GET", "/read/x", "key-1").status() == 200);
        }
    }

    private void checkRound(List<TestCaller> entries) {
        checks.setEndless(CHUNKS, Integer.MAX_VALUE, Mode.WHOLE);
        List<CompletableFuture<Long>> requests = new ArrayList<>();
        for (TestCaller entry : entries) {
            for (int i = 0; i < REQUESTS; i++) {
                String target = i % 2 == 0 ? "/read/x" : "/pay/x";
                TestCaller caller = entry.another();
                requests.add(CompletableFuture.supplyAsync(() -> millis(caller, target), threads));
            }
        }
        long peak = 0;
        while (!requests.stream().allMatch(CompletableFuture::isDone)) {
            peak = Math.max(peak, checks.fixture().role().bufferedBytes());
            Thread.onSpinWait();
        }
        assertTrue(peak <= MAX_BUFFERED_BYTES, "buffered " + peak + " bytes");
        requests.forEach(
                r ->
                        assertTrue(
                                r.join() < EndlessChecks.READ_TIMEOUT_MILLIS + TIMEOUT_SLACK_MILLIS,
                                "answered after " + r.join() + " ms"));
        checks.awaitClosed();
        assertEquals(checks.fixture().role().bufferedBytes(), 0);
    }

    // Returns how long a request took that can have no answer of an upstream.
    private static long millis(TestCaller caller, String target) {
        long startNanos = System.nanoTime();
        TestCaller.Response response = caller.send("GET", target, "key-1");
        assertTrue(response.status() >= 502 && response.status() <= 504, response.head());
        return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
    }
}
