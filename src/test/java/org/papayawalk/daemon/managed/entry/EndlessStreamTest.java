package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertFalse;

import java.time.Duration;
import org.papayawalk.daemon.managed.EndlessBytes;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Upstreams send streams whose events never end. Checks that the stream goes on at another
 * upstream, or is cut off visibly if it cannot, and that the endless connection is closed.
 */
public final class EndlessStreamTest extends UpstreamFaultCase {
    private static final Duration TRICKLE_PAUSE = Duration.ofMillis(20);

    private static final String START =
            EndlessBytes.HEAD
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final String FIRST_EVENT = "14\r\nid: 1\ndata: part 1\n\n\r\n";

    private static final EndlessBytes EVENT =
            EndlessBytes.fast("event", START + FIRST_EVENT, "6\r\ndata: \r\n");

    /**
     * Endless bytes in the place of events.
     *
     * @return bytes
     */
    @DataProvider
    public Object[][] endlessEvents() {
        String start = START + FIRST_EVENT;
        String extension = "1;" + "e".repeat(2000) + "\r\na\r\n";
        return new Object[][] {
            {EVENT},
            {EndlessBytes.fast("first event", START, "6\r\ndata: \r\n")},
            {EndlessBytes.fast("lines", start, "8\r\ndata: a\n\r\n")},
            {EndlessBytes.fast("empty lines", start, "2\r\n\n\n\r\n")},
            {EndlessBytes.fast("chunk extensions", start, extension)},
        };
    }

    /**
     * A stream goes on at the other upstream at once.
     *
     * @param bytes endless bytes
     */
    @Test(dataProvider = "endlessEvents")
    public void streamResumesElsewhere(EndlessBytes bytes) {
        checks().checkStream(bytes, EndlessChecks.FAST_MILLIS);
    }

    /** A stream goes on at the other upstream before its deadline if the bytes trickle. */
    @Test
    public void streamResumesElsewhereAfterTrickle() {
        checks().checkStream(
                        EVENT.trickled(TRICKLE_PAUSE), EndlessChecks.ADVICE_TIMEOUT_MILLIS - 100);
    }

    /** Events that the upstream sent before are no progress of its stream. */
    @Test
    public void repeatedEventsAreNoProgress() {
        checks().checkStream(
                        EndlessBytes.fast("repeated events", START, FIRST_EVENT)
                                .trickled(TRICKLE_PAUSE),
                        EndlessChecks.ADVICE_TIMEOUT_MILLIS - 100);
    }

    /** A stream without another upstream is cut off visibly. */
    @Test
    public void endlessStreamDoesNotLookComplete() {
        checks().setEndless(EVENT, 2, Mode.WHOLE);
        TestCaller.Response response =
                checks().fixture().caller().send("POST", "/advice/x", "key-1");
        assertFalse(response.complete());
        checks().awaitClosed();
    }
}
