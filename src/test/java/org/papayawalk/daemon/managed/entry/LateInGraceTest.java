package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Requests at every 100 ms of a planned stop, at servers that never answer. Checks that every one
 * gets an answer, and that none that may run only once is passed on and cut at the end of the
 * grace.
 */
public final class LateInGraceTest {
    private static final int GRACE_MILLIS = 8000;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Routes and whether their requests may be repeated; the timeout of the first is 10 s. */
    private static final List<String> TARGETS = List.of("POST /order/", "GET /read/", "POST /pay/");

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        fixture.first().mode(Mode.MUTE);
        fixture.second().mode(Mode.MUTE);
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
        threads.shutdownNow();
    }

    /** Every request gets an answer, and a refused one reaches no server. */
    @Test
    public void everyRequestIsAnswered() {
        List<CompletableFuture<TestCaller.Response>> answers = new ArrayList<>();
        TestCaller early = fixture.caller().another();
        answers.add(CompletableFuture.supplyAsync(() -> send(early, "POST /order/early"), threads));
        ManagedEntryFixture.await(() -> seen() == 1);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.role()::stop, threads);
        ManagedEntryFixture.await(() -> !fixture.ready());
        for (int at = 0; at < GRACE_MILLIS && !stop.isDone(); at += 100) {
            for (String target : TARGETS) {
                TestCaller caller = fixture.caller().another();
                String text = target + at;
                answers.add(CompletableFuture.supplyAsync(() -> send(caller, text), threads));
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        stop.join();
        for (CompletableFuture<TestCaller.Response> a : answers) {
            int status = a.join().status();
            assertTrue(status == 503 || status == 504, "status " + status);
        }
        assertEquals(answers.get(0).join().status(), 504);
        long passedOn = seenOrders();
        assertEquals(passedOn, 1, "orders with a timeout beyond the grace that were passed on");
    }

    private static TestCaller.Response send(TestCaller caller, String text) {
        String[] parts = text.split(" ");
        return caller.send(parts[0], parts[1], "key-1");
    }

    private int seen() {
        return fixture.first().seen().size() + fixture.second().seen().size();
    }

    private long seenOrders() {
        return List.of(fixture.first(), fixture.second()).stream()
                .flatMap(u -> u.seen().stream())
                .filter(s -> s.line().contains("/order/"))
                .count();
    }
}
