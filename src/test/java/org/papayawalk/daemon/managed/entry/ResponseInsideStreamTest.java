package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.Test;

/** Guards against callers that get a second answer as events of the first. */
public final class ResponseInsideStreamTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static final String SECOND_ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: r1\r\n"
                    + "X-Server-Stamp: code\r\n\r\n"
                    + EVENTS;

    private static final int CUT_STEP = 9;

    /**
     * The caller gets the events only, and no end of the stream, wherever the second answer is cut.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void secondAnswerIsNoEvent() throws IOException {
        List<String> wrong = new ArrayList<>();
        for (int cut = SECOND_ANSWER.length(); cut > 0; cut -= CUT_STEP) {
            // An entry of its own, as one whose servers have failed avoids them for a while.
            try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
                script(entry, SECOND_ANSWER.substring(0, cut));
                TestCaller.Response response = entry.caller().send("POST", "/advice/x", "key-1");
                if (response.complete() || !response.body().equals(EVENTS)) {
                    wrong.add("cut at %d: %s".formatted(cut, response.body()));
                }
            }
        }
        assertEquals(String.join("\n", wrong), "");
    }

    /**
     * Neither does a buffered answer hold another one.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void bufferedAnswerHoldsNoSecondAnswer() throws IOException {
        try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
            script(entry, SECOND_ANSWER);
            TestCaller.Response response = entry.caller().send("GET", "/read/x", "key-1");
            assertFalse(response.status() == 200, response.body());
        }
    }

    /**
     * An event may quote a status line.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void eventMayQuoteStatusLine() throws IOException {
        String quote = "id: 3\ndata: HTTP/1.1 200 OK\n\n";
        try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
            script(entry, quote);
            TestCaller.Response response = entry.caller().send("POST", "/advice/x", "key-1");
            assertEquals(response.body(), EVENTS + quote);
        }
    }

    // Both servers answer so, however often the request is sent.
    private static void script(ManagedEntryFixture entry, String behind) {
        AnswerScript answer =
                AnswerScript.whole(Framing.NEITHER, "text/event-stream", EVENTS + behind);
        AtomicInteger answers = new AtomicInteger(2);
        entry.first().script(answer, answers, Mode.LOST_ANSWER);
        entry.second().script(answer, answers, Mode.LOST_ANSWER);
    }
}
