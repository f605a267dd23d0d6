package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Sends requests through entries to upstreams that state that they take no new ones. */
public final class WithheldUpstreamTest {
    // Time in which each entry gets an answer of each upstream.
    private static final Duration TELLING = Duration.ofMillis(500);

    private static final Duration REFUSAL = Duration.ofSeconds(5);

    private static final int REQUESTS = 50;

    // Time in which bytes that were written on loopback have arrived.
    private static final Duration DELIVERY = Duration.ofMillis(100);

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

    /**
     * An upstream that states that it leaves gets no new request, whatever its row says, until a
     * new process has its id.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void leavingUpstreamGetsNoNewRequest() throws IOException {
        List<TestCaller> callers =
                List.of(fixture.caller(), fixture.addEntry(), fixture.addEntry());
        fixture.first().leave();
        sendFor(TELLING, callers);
        fixture.first().seen().clear();
        callers.forEach(WithheldUpstreamTest::sendMany);
        fixture.store().remove("servers", "i-1");
        sendFor(TELLING, callers);
        fixture.store().put("servers", "i-1", ManagedEntryFixture.entry(fixture.first(), "ready"));
        sendFor(TELLING, callers);
        assertEquals(fixture.first().seen().size(), 0);
        fixture.first().restart();
        fixture.store()
                .put("servers", "i-1", ManagedEntryFixture.entry(fixture.first(), "ready", 2));
        callers.forEach(this::awaitUse);
    }

    /**
     * A request that waits for its connection when the upstream states that it leaves is not sent
     * there, and what runs there goes on.
     *
     * @throws IOException if a connection is lost
     */
    @Test
    public void requestThatWaitsForItsConnectionIsNotSent() throws IOException {
        fixture.store().remove("servers", "i-2");
        ManagedEntryFixture.await(
                () -> {
                    fixture.second().seen().clear();
                    sendMany(fixture.caller());
                    return fixture.second().seen().isEmpty();
                });
        fixture.first().seen().clear();
        fixture.first().mode(Mode.HELD);
        try (Socket running = fixture.caller().connect();
                Socket waiting = fixture.caller().connect()) {
            TestCaller.write(running, fixture.caller().request("GET", "/read/x", "key-1"));
            ManagedEntryFixture.await(() -> !fixture.first().seen().isEmpty());
            fixture.first().leave();
            Runnable release = fixture.holdEventLoops();
            TestCaller.write(waiting, fixture.caller().request("POST", "/pay/x", "key-1"));
            sleep(DELIVERY);
            fixture.first().release();
            sleep(DELIVERY);
            release.run();
            assertEquals(TestCaller.read(running).status(), 200);
            TestCaller.Response refused = TestCaller.read(waiting);
            assertEquals(refused.status(), 503);
            assertTrue(refused.head().toLowerCase().contains("retry-after: "));
        }
        assertEquals(fixture.first().seen().size(), 1);
    }

    /**
     * An upstream that refuses requests for a time gets none in that time, and some afterwards.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void refusingUpstreamGetsNothingForTheStatedTime() throws IOException {
        List<TestCaller> callers =
                List.of(fixture.caller(), fixture.addEntry(), fixture.addEntry());
        fixture.first().retryAfter(Long.toString(REFUSAL.toSeconds()));
        fixture.first().mode(Mode.NOT_RUN);
        sendFor(TELLING, callers);
        fixture.first().seen().clear();
        sendFor(REFUSAL.minus(TELLING.multipliedBy(4)), callers);
        assertEquals(fixture.first().seen().size(), 0);
        fixture.first().mode(Mode.WHOLE);
        callers.forEach(this::awaitUse);
    }

    /** While all upstreams refuse requests, callers learn when the first one takes them again. */
    @Test
    public void callersLearnWhenTheFirstUpstreamTakesRequests() {
        fixture.first().retryAfter(Long.toString(REFUSAL.toSeconds()));
        fixture.second().retryAfter("99999999999999999999");
        fixture.first().mode(Mode.NOT_RUN);
        fixture.second().mode(Mode.NOT_RUN);
        long start = System.nanoTime();
        ManagedEntryFixture.await(
                () -> {
                    retryAfterOfNextRequest();
                    return !fixture.first().seen().isEmpty() && !fixture.second().seen().isEmpty();
                });
        Duration passed = Duration.ofNanos(System.nanoTime() - start);
        fixture.first().seen().clear();
        fixture.second().seen().clear();
        Duration retryAfter = retryAfterOfNextRequest();
        assertTrue(
                retryAfter.compareTo(REFUSAL.minus(passed).minus(TELLING)) >= 0, "" + retryAfter);
        assertTrue(retryAfter.compareTo(REFUSAL.plusSeconds(1)) <= 0, "" + retryAfter);
        assertEquals(fixture.first().seen().size() + fixture.second().seen().size(), 0);
    }

    private Duration retryAfterOfNextRequest() {
        TestCaller.Response response = fixture.caller().send("GET", "/read/x", "key-1");
        assertEquals(response.status(), 503);
        String seconds = response.head().toLowerCase().replaceAll("(?s).*retry-after: ", "");
        return Duration.ofMillis((long) (Double.parseDouble(seconds.split("\r")[0]) * 1000));
    }

    private void awaitUse(TestCaller caller) {
        fixture.first().seen().clear();
        ManagedEntryFixture.await(
                () -> {
                    sendMany(caller);
                    return !fixture.first().seen().isEmpty();
                });
    }

    private static void sendMany(TestCaller caller) {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(caller.send("GET", "/read/x", "key-1").status(), 200);
            assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 200);
        }
    }

    private static void sendFor(Duration time, List<TestCaller> callers) {
        long end = System.nanoTime() + time.toNanos();
        while (System.nanoTime() < end) {
            callers.forEach(c -> assertEquals(c.send("GET", "/read/x", "key-1").status(), 200));
        }
    }

    private static void sleep(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
