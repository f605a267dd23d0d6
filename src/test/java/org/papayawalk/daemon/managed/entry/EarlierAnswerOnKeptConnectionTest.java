package org.papayawalk.daemon.managed.entry;

import static org.papayawalk.daemon.managed.KeptConnectionServer.idLine;
import static org.papayawalk.daemon.managed.KeptConnectionServer.response;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.net.Socket;
import org.papayawalk.daemon.managed.KeptConnectionServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against answers of earlier requests that callers get as their own. */
public final class EarlierAnswerOnKeptConnectionTest {
    private static final String ROW =
            """
            {"service":"desk","address":"%s","zone":"luzon-a","slots":4,"state":"ready","born":1}
            """;

    private ManagedEntryFixture fixture;

    private KeptConnectionServer server;

    private int warmUps;

    /**
     * Starts the entry before one server.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        server = new KeptConnectionServer();
        fixture.store().put("servers", "i-3", ROW.formatted(server.address()));
        fixture.store().remove("servers", "i-1");
        fixture.store().remove("servers", "i-2");
        ManagedEntryFixture.await(
                () ->
                        fixture.knowsUsable("i-3")
                                && !fixture.knowsUsable("i-1")
                                && !fixture.knowsUsable("i-2"));
    }

    /** Waits until the entry uses the server, on a connection that it keeps. */
    @BeforeMethod
    public void reset() {
        server.answers((id, earlier) -> response(200, idLine(id), "answer"));
        ManagedEntryFixture.await(() -> send("GET", "warm-" + warmUps++).body().equals("answer"));
    }

    /**
     * Stops the server and the entry.
     *
     * @throws IOException if the server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        server.close();
        fixture.close();
    }

    /** A caller that uses an id again gets no earlier answer to that id. */
    @Test
    public void repeatedIdGetsNoEarlierAnswer() {
        server.answers((id, earlier) -> response(200, idLine(id), "first"));
        assertEquals(send("GET", "again").body(), "first");
        String failure = response(500, idLine("again"), "failed");
        server.answers(
                (id, earlier) ->
                        earlier.isEmpty() ? failure : response(200, idLine(id), "first") + failure);
        assertEquals(send("GET", "again").status(), 500);
    }

    /** A refusal that names no request says nothing of one on a kept connection. */
    @Test
    public void refusalWithoutIdIsNoAnswerOnKeptConnection() {
        String refusal = response(503, "X-Not-Executed: 1\r\n", "");
        server.answers(
                (id, earlier) ->
                        (earlier.isEmpty() ? "" : refusal) + response(200, idLine(id), "ran"));
        assertNotEquals(send("GET", "after").status(), 503);
    }

    /** A connection whose answer named no request is not used again. */
    @Test
    public void connectionIsNotKeptAfterRefusalWithoutId() {
        server.answers(
                (id, earlier) -> response(200, idLine(id) + "Connection: close\r\n", "last"));
        assertEquals(send("GET", "last").body(), "last");
        String refusal = response(503, "X-Not-Executed: 1\r\n", "");
        server.answers((id, earlier) -> refusal);
        assertEquals(send("GET", "refused").status(), 503);
        server.answers(
                (id, earlier) ->
                        (earlier.contains("refused") ? refusal : "")
                                + response(200, idLine(id), "ran"));
        assertEquals(send("GET", "next").body(), "ran");
    }

    /** An answer with two ids names no request. */
    @Test
    public void answerWithTwoIdsIsNoAnswer() {
        server.answers((id, earlier) -> response(200, idLine(id) + idLine("another"), "whose"));
        assertEquals(send("GET", "two").status(), 502);
    }

    /** The length in an answer to HEAD does not take bytes of the next answer. */
    @Test
    public void secondAnswerToHeadTakesNoBytesOfTheNextAnswer() {
        String head =
                "HTTP/1.1 200 X\r\n"
                        + idLine("head")
                        + "X-Server-Stamp: code\r\nContent-Length: 500\r\n\r\n";
        server.answers((id, earlier) -> head);
        assertEquals(send("HEAD", "head").status(), 200);
        server.answers(
                (id, earlier) ->
                        (earlier.contains("head") ? head : "") + response(200, idLine(id), "own"));
        assertEquals(send("GET", "own").body(), "own");
    }

    private TestCaller.Response send(String method, String id) {
        String request = fixture.caller().request(method, "/read/x", "key-1");
        String named = request.replaceFirst("X-Request-Id: r[0-9]+", "X-Request-Id: " + id);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, named);
            return TestCaller.read(socket);
        } catch (IOException e) {
            throw new AssertionError("no response from the entry", e);
        }
    }
}
