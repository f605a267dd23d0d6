package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.EndlessBytes;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Upstreams send bytes that never become an answer as fast as they are read. Checks that an
 * idempotent request is answered by another upstream at once, that any other request ends without
 * an answer at once and is sent once, and that the endless connection is closed.
 */
public final class EndlessResponseTest extends UpstreamFaultCase {
    private static final long SEED = 20261204;

    private static final int RANDOM_ANSWERS = 12;

    private static final int MANY_REQUESTS = 40;

    /** Time after a timeout within which the caller must have its answer. */
    private static final long TIMEOUT_SLACK_MILLIS = 400;

    /**
     * Endless answers that are no event streams.
     *
     * @return bytes
     */
    @DataProvider
    public Object[][] endlessAnswers() {
        String chunked = EndlessBytes.CHUNKED;
        String foreign = chunked.replace(EndlessBytes.ID, "old");
        String stated = EndlessBytes.HEAD + "Content-Length: 1000000000000\r\n\r\n";
        String extension = "1;" + "e".repeat(2000) + "\r\na\r\n";
        return new Object[][] {
            {EndlessBytes.fast("status line", "HTTP/1.1 200 ", "x")},
            {EndlessBytes.fast("blank lines", "", "\r\n")},
            {EndlessBytes.fast("header lines", EndlessBytes.HEAD, "X-A: v\r\n")},
            {EndlessBytes.fast("1xx heads", "", "HTTP/1.1 100 Continue\r\n\r\n")},
            {EndlessBytes.fast("foreign answer", foreign, "4\r\nabcd\r\n")},
            {EndlessBytes.fast("chunk extensions", chunked, extension)},
            {EndlessBytes.fast("chunk size", chunked, "0")},
            {EndlessBytes.fast("trailers", chunked + "0\r\n", "X-A: v\r\n")},
            {EndlessBytes.fast("chunks", chunked, "400\r\n" + "a".repeat(1024) + "\r\n")},
            {EndlessBytes.fast("unframed body", EndlessBytes.HEAD + "\r\n", "abcd")},
            {EndlessBytes.fast("stated length", stated, "abcd")},
        };
    }

    /**
     * An idempotent request is answered by the other upstream at once.
     *
     * @param bytes endless bytes
     */
    @Test(dataProvider = "endlessAnswers")
    public void idempotentRequestIsAnsweredElsewhere(EndlessBytes bytes) {
        checks().checkIdempotent(bytes, EndlessChecks.FAST_MILLIS);
    }

    /**
     * A non-idempotent request ends as unanswered at once and is sent once.
     *
     * @param bytes endless bytes
     */
    @Test(dataProvider = "endlessAnswers")
    public void nonIdempotentRequestEndsOnce(EndlessBytes bytes) {
        checks().checkNonIdempotent(bytes, EndlessChecks.FAST_MILLIS);
    }

    /** Random endless answers, fast or trickled, end a non-idempotent request in time. */
    @Test
    public void randomAnswersEndInTime() {
        Random random = new Random(SEED);
        for (int i = 0; i < RANDOM_ANSWERS; i++) {
            checks().reset();
            checks().checkNonIdempotent(
                            EndlessBytes.random(random),
                            EndlessChecks.PAY_TIMEOUT_MILLIS + TIMEOUT_SLACK_MILLIS);
        }
    }

    /** An answer whose bytes come slowly is delivered: slowness alone ends nothing. */
    @Test
    public void slowAnswerIsDelivered() {
        checks().fixture().first().mode(Mode.SLOW);
        checks().fixture().second().mode(Mode.SLOW);
        TestCaller caller = checks().fixture().caller();
        for (String target : new String[] {"/read/x", "/pay/x"}) {
            TestCaller.Response response = caller.send("POST", target, "key-1");
            assertEquals(response.body(), "answer to " + caller.lastId());
        }
        assertEquals(checks().seenCount(), 2);
    }

    /** An upstream that answers without end is avoided after a few requests. */
    @Test
    public void endlessUpstreamIsAvoided() {
        FakeUpstream endless = checks().fixture().first();
        endless.script(
                EndlessBytes.fast("1xx heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
                new AtomicInteger(Integer.MAX_VALUE),
                Mode.WHOLE);
        TestCaller caller = checks().fixture().caller();
        for (int i = 0; i < MANY_REQUESTS; i++) {
            assertEquals(caller.send("GET", "/read/x", "key-1").status(), 200);
        }
        assertTrue(
                endless.seen().size() < MANY_REQUESTS / 4,
                endless.seen().size() + " requests sent to the endless upstream");
        checks().awaitClosed();
    }
}
