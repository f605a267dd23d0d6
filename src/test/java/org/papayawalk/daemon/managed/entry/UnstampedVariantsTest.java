package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against refusals without a stamp in all their forms: without an id, with several, with an
 * empty stamp, unframed, as a stream.
 */
public final class UnstampedVariantsTest {
    private static final String LENGTH = "Content-Length: 2\r\n\r\nno";

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
     * Returns answers without a stamp; each row has a name and a text with a place for the id.
     *
     * @return rows of two texts
     */
    @DataProvider
    public Object[][] answers() {
        String id = "X-Request-Id: ID\r\n";
        return new Object[][] {
            {"400 with id", "HTTP/1.1 400 No\r\n" + id + LENGTH},
            {"401 with id", "HTTP/1.1 401 No\r\n" + id + LENGTH},
            {"404 with id", "HTTP/1.1 404 No\r\n" + id + LENGTH},
            {"404 without id", "HTTP/1.1 404 No\r\n" + LENGTH},
            {"400 without id", "HTTP/1.1 400 No\r\n" + LENGTH},
            {
                "404 with two ids",
                "HTTP/1.1 404 No\r\nX-Request-Id: a\r\nX-Request-Id: b\r\n" + LENGTH
            },
            {"404 with empty stamp", "HTTP/1.1 404 No\r\n" + id + "X-Server-Stamp: \r\n" + LENGTH},
            {"404 ended by its connection", "HTTP/1.1 404 No\r\n" + id + "\r\nno"},
            {"302 with id", "HTTP/1.1 302 No\r\n" + id + LENGTH},
            {"302 without id", "HTTP/1.1 302 No\r\n" + LENGTH},
            {"302 not run", "HTTP/1.1 302 No\r\n" + id + "X-Not-Executed: 1\r\n" + LENGTH},
            {"304 with id", "HTTP/1.1 304 No\r\n" + id + "\r\n"},
            {"413 not run", "HTTP/1.1 413 No\r\n" + id + "X-Not-Executed: 1\r\n" + LENGTH},
            {"421 without id", "HTTP/1.1 421 No\r\n" + LENGTH},
            {
                "404 as stream",
                "HTTP/1.1 404 No\r\n"
                        + id
                        + "Content-Type: text/event-stream\r\nContent-Length: 13\r\n\r\n"
                        + "id: 1\ndata\n\n\n"
            },
        };
    }

    /**
     * A request that may run once, and a stream, end with a status that is none of the entry's own
     * denials.
     *
     * @param name name of the answer
     * @param text answer of all upstreams
     */
    @Test(dataProvider = "answers")
    public void unstampedRefusalReachesNoCaller(String name, String text) {
        play(text, Integer.MAX_VALUE);
        String failed = "";
        for (String path : new String[] {"/pay/x", "/advice/x", "/read/x"}) {
            String method = path.equals("/read/x") ? "GET" : "POST";
            int status = fixture.caller().send(method, path, "key-1").status();
            failed += status < 500 ? " " + path + ": " + status : "";
        }
        assertEquals(failed, "", name);
    }

    /**
     * A request that may be repeated is answered by the next upstream.
     *
     * @param name name of the answer
     * @param text answer of the first upstream
     */
    @Test(dataProvider = "answers")
    public void repeatableRequestGoesElsewhere(String name, String text) {
        play(text, 1);
        TestCaller.Response response = fixture.caller().send("GET", "/read/x", "key-1");
        assertEquals(response.status(), 200, name);
    }

    private void play(String text, int answers) {
        AtomicInteger left = new AtomicInteger(answers);
        for (FakeUpstream u : new FakeUpstream[] {fixture.first(), fixture.second()}) {
            u.script(
                    (socket, id, headers) ->
                            socket.getOutputStream()
                                    .write(
                                            text.replace("ID", id)
                                                    .getBytes(StandardCharsets.ISO_8859_1)),
                    left,
                    Mode.WHOLE);
            u.mode(Mode.SCRIPT);
        }
    }
}
