package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against streams that fail though another server sent what was missing. */
public final class ResumeBehindCommentTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

    private ManagedEntryFixture fixture;

    private int requests;

    /**
     * Starts the fakes and the entry.
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
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * Broken streams and the ones that go on.
     *
     * @return name, events before the break, whole second stream, what the caller gets
     */
    @DataProvider
    public Object[][] streams() {
        String numbered = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        String done = "data: [DONE]\n\n";
        String plain = "data: a\n\ndata: b\n\n";
        String comment = ": wait\n\n";
        return new Object[][] {
            {"nothing, no ids", "", plain, plain},
            {"comment, no ids", comment, plain, comment + plain},
            {"comment, ids", comment, numbered, comment + numbered},
            {"event, ids and end mark", "id: 1\ndata: a\n\n", numbered + done, numbered + done},
            {"retry field, ids", "retry: 900\n\n", numbered, "retry: 900\n\n" + numbered},
        };
    }

    /**
     * The caller gets each event once, and the end.
     *
     * @param name name of the case
     * @param before events before the break
     * @param second whole second stream
     * @param expected what the caller gets
     */
    @Test(dataProvider = "streams")
    public void streamGoesOn(String name, String before, String second, String expected) {
        AtomicInteger turn = new AtomicInteger();
        AtomicInteger left = new AtomicInteger(2);
        Script inTurn =
                (socket, id, headers) -> {
                    boolean first = turn.getAndIncrement() == 0;
                    String body = first ? before : second;
                    String length = "Content-Length: " + (body.length() + (first ? 9 : 0));
                    String text = HEAD + headers + length + "\r\n\r\n" + body;
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                    socket.shutdownOutput();
                };
        fixture.first().script(inTurn, left, Mode.STREAM);
        fixture.second().script(inTurn, left, Mode.STREAM);
        AtomicReference<TestCaller.Response> response = new AtomicReference<>();
        ManagedEntryFixture.await(
                () -> {
                    requests++;
                    response.set(fixture.caller().send("POST", "/advice/c" + requests, "key-1"));
                    return turn.get() > 0;
                });
        assertEquals(response.get().body(), expected);
        assertEquals(response.get().complete(), true);
    }
}
