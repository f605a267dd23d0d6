package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.daemon.managed.EndlessBytes;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Upstreams send bytes that never become an answer in trickles, so that they are never silent.
 * Checks that an idempotent request is answered by another upstream before its deadline.
 */
public final class EndlessTrickleTest extends UpstreamFaultCase {
    private static final Duration TRICKLE_PAUSE = Duration.ofMillis(20);

    private static final int OTHER_REQUESTS = 20;

    /**
     * Endless answers that are no event streams.
     *
     * @return bytes
     */
    @DataProvider
    public Object[][] endlessAnswers() {
        String stated = EndlessBytes.HEAD + "Content-Length: 1000000000000\r\n\r\n";
        return new Object[][] {
            {EndlessBytes.fast("header lines", EndlessBytes.HEAD, "X-A: v\r\n")},
            {EndlessBytes.fast("blank lines", "", "\r\n")},
            {EndlessBytes.fast("1xx heads", "", "HTTP/1.1 100 Continue\r\n\r\n")},
            {EndlessBytes.fast("chunks", EndlessBytes.CHUNKED, "4\r\nabcd\r\n")},
            {EndlessBytes.fast("unframed body", EndlessBytes.HEAD + "\r\n", "abcd")},
            {EndlessBytes.fast("stated length", stated, "abcd")},
        };
    }

    /**
     * An idempotent request is answered by the other upstream before its deadline.
     *
     * @param bytes endless bytes
     */
    @Test(dataProvider = "endlessAnswers")
    public void idempotentRequestIsAnsweredElsewhere(EndlessBytes bytes) {
        checks().checkIdempotent(
                        bytes.trickled(TRICKLE_PAUSE), EndlessChecks.READ_TIMEOUT_MILLIS - 100);
    }

    /** A slow body that is expected to end before the deadline is let alone. */
    @Test
    public void slowBodyIsDelivered() {
        checks().fixture().first().mode(Mode.SLOW_BODY);
        checks().fixture().second().mode(Mode.SLOW_BODY);
        TestCaller caller = checks().fixture().caller();
        assertEquals(caller.send("GET", "/read/x", "key-1").body(), "answer to " + caller.lastId());
        assertEquals(checks().seenCount(), 1);
    }

    /** A connection that gets bytes while it is idle is closed, whatever they are. */
    @Test
    public void idleConnectionIsClosedAtFirstByte() {
        EndlessBytes extra = EndlessBytes.fast("extra bytes", EndlessBytes.EMPTY, "\r\n");
        checks().setEndless(extra.trickled(TRICKLE_PAUSE), 1, Mode.WHOLE);
        TestCaller caller = checks().fixture().caller();
        assertEquals(caller.send("GET", "/read/x", "key-1").status(), 200);
        checks().awaitClosed();
    }

    /** Other requests are answered while bytes trickle over the connection of one. */
    @Test
    public void othersAreServedMeanwhile() {
        EndlessBytes blank = EndlessBytes.fast("blank lines", "", "\r\n");
        checks().setEndless(blank.trickled(TRICKLE_PAUSE), 1, Mode.WHOLE);
        TestCaller waiting = checks().fixture().caller().another();
        CompletableFuture<TestCaller.Response> pay =
                CompletableFuture.supplyAsync(() -> waiting.send("POST", "/pay/x", "key-1"));
        ManagedEntryFixture.await(() -> checks().seenCount() == 1);
        TestCaller caller = checks().fixture().caller();
        for (int i = 0; i < OTHER_REQUESTS; i++) {
            assertEquals(caller.send("GET", "/read/x", "key-1").status(), 200);
        }
        assertFalse(pay.isDone());
        assertEquals(pay.join().status(), 504);
        checks().awaitClosed();
    }
}
