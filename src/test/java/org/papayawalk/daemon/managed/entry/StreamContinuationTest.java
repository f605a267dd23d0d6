package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.AnswerScript.End;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.Test;

/** Guards against a stream that is completed by an answer that is not its continuation. */
public final class StreamContinuationTest {
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static final String TEXT = "all in one piece";

    private static final int CUT_BYTES = 5;

    private static final Script PLAIN = AnswerScript.whole(Framing.LENGTH, "text/plain", TEXT);

    private static final Script PLAIN_CUT =
            new AnswerScript(Framing.LENGTH, "text/plain", TEXT, CUT_BYTES, End.CLOSE);

    private static final Script STREAM =
            AnswerScript.whole(Framing.CHUNKS, "text/event-stream", EVENTS);

    private static final Script STREAM_CUT =
            AnswerScript.cutStream(Framing.CHUNKS, EVENTS, EVENTS.length() - CUT_BYTES, End.CLOSE);

    /**
     * A stream is left incomplete if the next server answers without events.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void answerWithoutEventsDoesNotCompleteStream() throws IOException {
        TestCaller.Response response = send(STREAM_CUT, PLAIN);
        assertFalse(response.complete(), response.body());
        assertEquals(response.body(), "id: 1\ndata: a\n\n");
    }

    /**
     * After an answer without events that broke off, the caller gets the next server's whole
     * answer.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void streamDoesNotCompleteAnswerWithoutEvents() throws IOException {
        TestCaller.Response response = send(PLAIN_CUT, STREAM);
        assertTrue(response.head().contains("text/event-stream"), response.head());
        assertTrue(response.complete(), response.body());
        assertEquals(response.body(), EVENTS);
    }

    /**
     * A stream is completed by another one.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void streamCompletesStream() throws IOException {
        TestCaller.Response response = send(STREAM_CUT, STREAM);
        assertEquals(response.body(), EVENTS);
    }

    // Whichever server is first plays the first answer.
    private static TestCaller.Response send(Script first, Script second) throws IOException {
        try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
            AtomicInteger played = new AtomicInteger();
            Script script =
                    (socket, id, headers) -> {
                        Script next = played.getAndIncrement() == 0 ? first : second;
                        next.play(socket, id, headers);
                    };
            AtomicInteger answers = new AtomicInteger(2);
            entry.first().script(script, answers, Mode.MUTE);
            entry.second().script(script, answers, Mode.MUTE);
            return entry.caller().send("POST", "/advice/x", "key-1");
        }
    }
}
