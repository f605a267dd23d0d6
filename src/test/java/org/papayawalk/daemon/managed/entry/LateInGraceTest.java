package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
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
 * Requests at every 100 ms of a planned stop, sent at once, in two halves, or a while after their
 * connection, at servers that never answer. Checks that every one gets an answer, and that none
 * that may run only once is passed on and cut at the end of the grace.
 */
public final class LateInGraceTest {
    private static final int GRACE_MILLIS = 8000;

    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Routes and whether their requests may be repeated; the timeout of the first is 10 s. */
    private static final List<String> TARGETS = List.of("POST /order/", "GET /read/", "POST /pay/");

    /** Shares of a request that are sent at once, before the rest follows. */
    private static final List<Double> FIRST_SHARES = List.of(0.0, 0.5, 1.0);

    /** Longer than the time between two looks for idle connections. */
    private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

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
        answers.add(sendLater("POST /order/early", 1));
        ManagedEntryFixture.await(() -> seen() == 1);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(fixture.role()::stop, threads);
        ManagedEntryFixture.await(() -> !fixture.ready());
        for (int at = 0; at < GRACE_MILLIS && !stop.isDone(); at += 100) {
            for (String target : TARGETS) {
                for (double firstShare : FIRST_SHARES) {
                    answers.add(sendLater(target + at, firstShare));
                }
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

    private CompletableFuture<TestCaller.Response> sendLater(String text, double firstShare) {
        TestCaller caller = fixture.caller().another();
        return CompletableFuture.supplyAsync(() -> send(caller, text, firstShare), threads);
    }

    private static TestCaller.Response send(TestCaller caller, String text, double firstShare) {
        String[] parts = text.split(" ");
        String request = caller.request(parts[0], parts[1], "key-1");
        int cut = (int) (request.length() * firstShare);
        try (Socket socket = caller.connect()) {
            TestCaller.write(socket, request.substring(0, cut));
            LockSupport.parkNanos(REST_NANOS);
            TestCaller.write(socket, request.substring(cut));
            return TestCaller.read(socket);
        } catch (IOException e) {
            throw new AssertionError("no response to " + text + ", sent " + firstShare, e);
        }
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
