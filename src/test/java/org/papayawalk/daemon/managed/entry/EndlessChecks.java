package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.papayawalk.daemon.managed.EndlessBytes;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;

/**
 * Entry on loopback with two upstreams, one of which sends bytes that never become an answer. The
 * upstream that gets a request first sends them, the other one answers. Confined to one thread.
 */
final class EndlessChecks implements AutoCloseable {
    /** Timeout of route "read" of the fixture. */
    static final long READ_TIMEOUT_MILLIS = 3000;

    /** Timeout of route "pay" of the fixture. */
    static final long PAY_TIMEOUT_MILLIS = 1500;

    /** Timeout of route "advice" of the fixture. */
    static final long ADVICE_TIMEOUT_MILLIS = 4000;

    /** Bound for bytes that are sent fast; less than the stall timeout of the routes, 1 s. */
    static final long FAST_MILLIS = 900;

    private final ManagedEntryFixture fixture = new ManagedEntryFixture();

    private final FakeUpstream first = fixture.first();

    private final FakeUpstream second = fixture.second();

    private final TestCaller caller = fixture.caller();

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    EndlessChecks() throws IOException {}

    /**
     * Returns the entry with its fakes.
     *
     * @return fixture
     */
    ManagedEntryFixture fixture() {
        return fixture;
    }

    /** Waits until the entry uses both upstreams again. */
    void reset() {
        awaitServed(first, second);
        awaitServed(second, first);
        first.mode(Mode.WHOLE);
        second.mode(Mode.WHOLE);
        first.seen().clear();
        second.seen().clear();
    }

    /**
     * Requires that an idempotent request is answered by the other upstream.
     *
     * @param bytes endless bytes
     * @param limitMillis time within which the answer must come
     */
    void checkIdempotent(EndlessBytes bytes, long limitMillis) {
        setEndless(bytes, 1, Mode.WHOLE);
        TestCaller.Response response =
                timed(bytes, limitMillis, () -> caller.send("GET", "/read/x", "key-1"));
        assertEquals(response.status(), 200, bytes.name());
        assertEquals(response.body(), "answer to " + caller.lastId(), bytes.name());
        assertEquals(seenCount(), 2, bytes.name());
        awaitClosed();
    }

    /**
     * Requires that a non-idempotent request ends without an answer and is sent once.
     *
     * @param bytes endless bytes
     * @param limitMillis time within which the request must end
     */
    void checkNonIdempotent(EndlessBytes bytes, long limitMillis) {
        setEndless(bytes, 1, Mode.WHOLE);
        TestCaller.Response response =
                timed(bytes, limitMillis, () -> caller.send("POST", "/pay/x", "key-1"));
        assertTrue(response.status() == 502 || response.status() == 504, bytes.name());
        assertEquals(seenCount(), 1, bytes.name());
        awaitClosed();
    }

    /**
     * Requires that a stream goes on at the other upstream: each event comes once and in order.
     *
     * @param bytes endless bytes
     * @param limitMillis time within which the stream must be complete
     */
    void checkStream(EndlessBytes bytes, long limitMillis) {
        setEndless(bytes, 1, Mode.STREAM);
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= FakeUpstream.EVENTS; i++) {
            expected.append("id: ").append(i).append("\ndata: part ").append(i).append("\n\n");
        }
        TestCaller.Response response =
                timed(bytes, limitMillis, () -> caller.send("POST", "/advice/x", "key-1"));
        assertTrue(response.complete(), bytes.name());
        assertEquals(response.body(), expected.toString(), bytes.name());
        assertEquals(seenCount(), 2, bytes.name());
        awaitClosed();
    }

    /**
     * Makes both upstreams send bytes without end.
     *
     * @param bytes endless bytes
     * @param answers number of such answers from both together
     * @param then what the upstreams do with further requests
     */
    void setEndless(EndlessBytes bytes, int answers, Mode then) {
        AtomicInteger left = new AtomicInteger(answers);
        first.script(bytes, left, then);
        second.script(bytes, left, then);
    }

    /**
     * Returns the requests that the upstreams have received since the last reset.
     *
     * @return number of requests
     */
    int seenCount() {
        return first.seen().size() + second.seen().size();
    }

    /** Waits until the entry has closed the connections over which bytes come without end. */
    void awaitClosed() {
        ManagedEntryFixture.await(
                () -> first.scriptedConnections() + second.scriptedConnections() == 0);
    }

    @Override
    public void close() throws IOException {
        fixture.close();
    }

    // Sends a request and requires its answer within a limit.
    private static TestCaller.Response timed(
            EndlessBytes bytes, long limitMillis, Supplier<TestCaller.Response> call) {
        long startNanos = System.nanoTime();
        TestCaller.Response response = call.get();
        long millis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        assertTrue(millis < limitMillis, bytes.name() + ": answered after " + millis + " ms");
        return response;
    }

    // Waits until the entry uses a server that it may have paused.
    private void awaitServed(FakeUpstream server, FakeUpstream other) {
        server.mode(Mode.WHOLE);
        other.mode(Mode.ERROR);
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-1").status() == 200);
    }
}
