package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
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

    /** Requests left out, as a pause of the whole process puts off one or two of them. */
    private static final int PUT_OFF_BY_PAUSE = 2;

    private static final Duration MAX_TOTAL_LATENCY =
            Duration.ofMillis(EndlessChecks.PAY_TIMEOUT_MILLIS);

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

    /** Bytes that trickle do not put off the deadline of a non-idempotent request. */
    @Test
    public void nonIdempotentRequestEndsAtDeadline() {
        EndlessBytes blank = EndlessBytes.fast("blank lines", "", "\r\n");
        checks().setEndless(blank.trickled(TRICKLE_PAUSE), 1, Mode.WHOLE);
        assertEquals(checks().fixture().caller().send("POST", "/pay/x", "key-1").status(), 504);
        checks().awaitClosed();
    }

    /**
     * Other requests are answered while bytes trickle over the connection of one.
     *
     * @throws IOException if a connection is lost
     */
    @Test
    public void othersAreServedMeanwhile() throws IOException {
        EndlessBytes blank = EndlessBytes.fast("blank lines", "", "\r\n");
        checks().setEndless(blank.trickled(TRICKLE_PAUSE), 1, Mode.WHOLE);
        TestCaller caller = checks().fixture().caller();
        TestCaller other = caller.another();
        try (Socket waiting = caller.connect()) {
            TestCaller.write(waiting, caller.request("POST", "/order/x", "key-1"));
            ManagedEntryFixture.await(() -> checks().seenCount() == 1);
            List<Duration> latencies = new ArrayList<>();
            for (int i = 0; i < OTHER_REQUESTS; i++) {
                long startNanos = System.nanoTime();
                assertEquals(other.send("GET", "/read/x", "key-1").status(), 200);
                latencies.add(Duration.ofNanos(System.nanoTime() - startNanos));
            }
            Collections.sort(latencies);
            Duration total =
                    latencies.stream()
                            .limit(OTHER_REQUESTS - PUT_OFF_BY_PAUSE)
                            .reduce(Duration.ZERO, Duration::plus);
            assertTrue(total.compareTo(MAX_TOTAL_LATENCY) < 0, "total latency " + total);
            assertTrue(isUnanswered(waiting), "the request over the endless connection has ended");
        }
        checks().awaitClosed();
    }

    private static boolean isUnanswered(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            socket.getInputStream().read();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }
}
