package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.KeptConnectionScript;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an earlier refusal, written again, of a request that has run. */
public final class EarlierRefusalTest {
    private static final String KEY = "key-1";

    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n"
                    + "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

    private static final String ANSWER = "200id: 1\ndata: a\n\n";

    /** Time after which an upstream closes a connection without a further request. */
    private static final int PAUSE_MILLIS = 200;

    /** Lines that keep an entry from sending requests to an upstream. */
    private static final String STATEMENTS =
            "Retry-After: 60\r\nServer-Limit: 0\r\nServer-Leaving: 1\r\n";

    /** Requests that reached the first upstream while it played a script. */
    private List<String> ids;

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and an entry that uses the first one only.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        ids = new CopyOnWriteArrayList<>();
        fixture = new ManagedEntryFixture();
        String draining = ManagedEntryFixture.entry(fixture.second(), "draining");
        fixture.store().put("servers", "i-2", draining);
        ManagedEntryFixture.await(() -> !fixture.knowsUsable("i-2"));
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
     * What a connection carries before, and the kind of the next request.
     *
     * @return target of the first request and of the second one
     */
    @DataProvider
    public Object[][] targets() {
        List<Object[]> rows = new ArrayList<>();
        for (String first : List.of("/read/a", "/advice/a", "/pay/a")) {
            for (String next : List.of("/read/b", "/advice/b", "/pay/b")) {
                rows.add(new Object[] {first, next});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * A refusal with the id of an earlier request changes nothing for the next one, wherever it
     * comes; the upstream is used again.
     *
     * @param first target of the first request
     * @param next target of the second one
     */
    @Test(dataProvider = "targets")
    public void earlierRefusalIsNotThatOfNextRequest(String first, String next) {
        for (String status : List.of("503 Busy", "429 Busy", "421 Other", "408 Late", "400 Bad")) {
            for (Map.Entry<String, List<String>> moment : moments(status).entrySet()) {
                String name = status + " " + moment.getKey();
                KeptConnectionScript script = new KeptConnectionScript(moment.getValue(), ids);
                play(script, 2);
                assertEquals(fixture.caller().send("POST", first, KEY).status(), 200, name);
                TestCaller.Response response = fixture.caller().send("POST", next, KEY);
                assertEquals(response.status() + response.body(), ANSWER, name);
                assertEquals(ran(), 1, name);
            }
        }
    }

    /**
     * Refusals without an id.
     *
     * @return status line and target of the first request
     */
    @DataProvider
    public Object[][] refusalsWithoutId() {
        List<Object[]> rows = new ArrayList<>();
        for (String status : List.of("503 Busy", "429 Busy", "421 Other", "408 Late", "400 Bad")) {
            for (String first : List.of("/read/a", "/advice/a", "/pay/a")) {
                rows.add(new Object[] {status, first});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * A refusal without an id on a kept connection may be an earlier one: the request may have run,
     * and the upstream stays in use.
     *
     * @param status status of the refusal
     * @param first target of the first request
     */
    @Test(dataProvider = "refusalsWithoutId")
    public void refusalWithoutIdOnKeptConnectionIsNoRefusal(String status, String first) {
        String late = refusal(status, "", STATEMENTS).replace("X-Request-Id: \r\n", "");
        play(new KeptConnectionScript(List.of(WHOLE, late + WHOLE), ids), 9);
        assertEquals(fixture.caller().send("POST", first, KEY).status(), 200);
        assertEquals(fixture.caller().send("GET", "/read/b", KEY).status(), 502);
        assertEquals(ran(), 1);
        TestCaller.Response response = fixture.caller().send("POST", "/pay/b", KEY);
        assertEquals(response.status() + response.body(), ANSWER);
    }

    /**
     * A refusal with an earlier id before the answer on a new connection changes nothing for a
     * request that may run once: it is neither refused nor sent again.
     */
    @Test
    public void strayRefusalOnNewConnectionIsSkipped() {
        for (String status : List.of("503 Busy", "429 Busy", "421 Other", "408 Late", "400 Bad")) {
            for (String length : List.of("0", "4")) {
                String stray = refusal(status, "stray", "").replace("h: 0", "h: " + length);
                String body = length.equals("0") ? "" : "busy";
                KeptConnectionScript script =
                        new KeptConnectionScript(List.of(stray + body + WHOLE), ids);
                play(script, 1);
                TestCaller.Response response = fixture.caller().send("POST", "/pay/x", KEY);
                assertEquals(response.status() + response.body(), ANSWER, status);
                assertEquals(ran(), 1, status);
            }
        }
    }

    /**
     * Lengths that a cut refusal states.
     *
     * @return lengths that end in the head, in the body and behind the next answer
     */
    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {{9}, {40}, {400}};
    }

    /**
     * An earlier refusal whose body is cut swallows the answer: the request may have run.
     *
     * @param length stated length of the refusal's body
     */
    @Test(dataProvider = "lengths")
    public void cutEarlierRefusalIsNoRefusal(int length) {
        String cut = refusal("503 Busy", "stray", "").replace("h: 0", "h: " + length);
        play(new KeptConnectionScript(List.of(cut + "bus" + WHOLE + "\r\n\r\n"), ids), 1);
        int status = fixture.caller().send("POST", "/pay/x", KEY).status();
        assertEquals(status == 502 || status == 504, true, "status " + status);
        assertEquals(ran(), 1);
    }

    /**
     * Answers with a success that state that they did not run.
     *
     * @return text of the answer and whether it is whole
     */
    @DataProvider
    public Object[][] contradictions() {
        String success = WHOLE.replace("{headers}", "{headers}X-Not-Executed: 1\r\n");
        String created = success.replace("200 OK", "201 Created");
        return new Object[][] {
            {success}, {created}, {success.replaceFirst("a\n\n$", "")},
        };
    }

    /**
     * A success that states that it did not run may have run: its caller isn't told to try again.
     *
     * @param answer text of the answer
     */
    @Test(dataProvider = "contradictions")
    public void successThatDeniesToHaveRunIsNoRefusal(String answer) {
        KeptConnectionScript script = new KeptConnectionScript(List.of(answer), ids);
        play(
                (socket, id, headers) -> {
                    socket.setSoTimeout(PAUSE_MILLIS);
                    script.play(socket, id, headers);
                },
                1);
        int status = fixture.caller().send("POST", "/pay/x", KEY).status();
        assertEquals(List.of(200, 201, 502).contains(status), true, "status " + status);
        assertEquals(ran(), 1);
    }

    // Answers of a connection, by the moment at which the refusal comes once more.
    private static Map<String, List<String>> moments(String status) {
        String late = refusal(status, "{before}", STATEMENTS);
        String own = refusal(status, "{id}", STATEMENTS);
        String interim = "HTTP/1.1 100 Continue\r\n\r\n";
        return Map.of(
                "with the answer before", List.of(WHOLE + own, WHOLE),
                "before the answer", List.of(WHOLE, late + WHOLE),
                "twice before the answer", List.of(WHOLE, late + late + WHOLE),
                "after an interim answer", List.of(WHOLE, interim + late + interim + WHOLE));
    }

    private static String refusal(String status, String id, String headers) {
        return "HTTP/1.1 "
                + status
                + "\r\nX-Request-Id: "
                + id
                + "\r\nX-Server-Stamp: code\r\nX-Not-Executed: 1\r\n"
                + headers
                + "Content-Length: 0\r\n\r\n";
    }

    // Returns how often the last request reached an upstream.
    private long ran() {
        String id = fixture.caller().lastId();
        long elsewhere =
                fixture.second().seen().stream()
                        .filter(s -> id.equals(s.headers().get("x-request-id")))
                        .count();
        return elsewhere + ids.stream().filter(id::equals).count();
    }

    private void play(Script script, int connections) {
        for (FakeUpstream s : List.of(fixture.first(), fixture.second())) {
            s.script(script, new AtomicInteger(connections), Mode.WHOLE);
        }
    }
}
