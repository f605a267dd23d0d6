package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.AnswerScript.End;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bytes of another answer in the middle of a caller's stream. */
public final class ResumedStreamTest {
    private static final String KEY = "key-1";

    /** Whole stream; the number of each event is its id. */
    private static final String STREAM = stream();

    private static final String CHUNKED_STREAM =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}"
                    + "Transfer-Encoding: chunked\r\n\r\n";

    private static final String UNFRAMED_STREAM =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}\r\n";

    /** Placeholder for the size of a chunk. */
    private static final String SIZE = "{size}";

    /** End of a chunk that is followed by the last one. */
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private ManagedEntryFixture fixture;

    private FakeUpstream third;

    private int requests;

    /**
     * Starts the fakes and the entry, and adds a third upstream and a route with three attempts.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        third = new FakeUpstream(Mode.STREAM);
        fixture.store().put("servers", "i-3", ManagedEntryFixture.entry(third, "ready"));
        fixture.store().put("op", "config", withThreeAttempts());
        ManagedEntryFixture.await(() -> fixture.knowsUsable("i-3"));
        ManagedEntryFixture.await(
                () -> fixture.caller().send("GET", "/advice-3/x", KEY).status() == 200);
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
        third.close();
    }

    /**
     * Answers that cannot go on with a stream.
     *
     * @return name and text of the answer
     */
    @DataProvider
    public Object[][] otherAnswers() {
        Map<String, String> answers = new LinkedHashMap<>();
        answers.put("500", answer("500 X", "", "failure\n\n"));
        answers.put("500 in chunks", chunked("500 X", "", "failure\n\n"));
        answers.put("503", answer("503 X", "", ""));
        answers.put("503 not run", answer("503 X", "X-Not-Executed: 1\r\n", "full\n\n"));
        answers.put("404", answer("404 X", "", "none\n\n"));
        answers.put("400", answer("400 X", "", "bad\n\n"));
        answers.put("204", "HTTP/1.1 204 X\r\n{headers}\r\n");
        answers.put("206", answer("206 X", events(), STREAM));
        answers.put("302", answer("302 X", "Location: /other\r\n", "moved\n\n"));
        answers.put("102, 500", "HTTP/1.1 102 X\r\n\r\n" + answer("500 X", "", "failure\n\n"));
        answers.put("html", answer("200 OK", "Content-Type: text/html\r\n", "<p>\n\nfailure"));
        answers.put("json", answer("200 OK", "Content-Type: application/json\r\n", "{}\n\n{}"));
        answers.put("json in chunks", chunked("200 OK", "Content-Type: a/json\r\n", "{}\n\n{}"));
        answers.put("no media type", answer("200 OK", "", "failure\n\n"));
        answers.put("encoded", answer("200 OK", events() + "Content-Encoding: gzip\r\n", "a\n\nb"));
        answers.put("cut", answer("200 OK", events(), STREAM).replaceFirst("(?s)art 6\n\n$", ""));
        answers.put("ends inside", answer("200 OK", events(), STREAM.replaceFirst("6\n\n$", "")));
        answers.put("not stamped", answer("200 OK", events(), STREAM).replace("{headers}", "{id}"));
        return answers.entrySet().stream()
                .map(e -> new Object[] {e.getKey(), e.getValue()})
                .toArray(Object[][]::new);
    }

    /**
     * Streams without ids, which could be whole answers of their own.
     *
     * @return text of the answer
     */
    @DataProvider
    public Object[][] streamsWithoutIds() {
        return new Object[][] {
            {chunked("200 OK", events(), "data: {\"error\":1}\n\n")},
            {chunked("200 OK", events(), "data: part 1\n\n")},
        };
    }

    /**
     * A broken stream with ids never goes on with events without ids, but at a third upstream. A
     * caller that has no event yet may get them.
     *
     * @param answer second answer
     */
    @Test(dataProvider = "streamsWithoutIds")
    public void brokenStreamTakesNoEventsWithoutIds(String answer) {
        List<AnswerScript> broken = brokenStreams().subList(1, brokenStreams().size());
        assertEquals(defects(broken, answer), List.of());
    }

    /**
     * A broken stream never goes on with an answer of another kind, but at a third upstream.
     *
     * @param name name of the second answer
     * @param answer second answer
     */
    @Test(dataProvider = "otherAnswers")
    public void brokenStreamTakesNoBytesOfOtherAnswer(String name, String answer) {
        assertEquals(defects(brokenStreams(), answer), List.of());
    }

    /**
     * Places in a stream at which the head of a failure begins.
     *
     * @return end of the part before
     */
    @DataProvider
    public Object[][] places() {
        return new Object[][] {{"id: 2"}, {"id: 2\nda"}, {"\ndata:"}, {"data: part 2"}, {"2\n\n"}};
    }

    /**
     * The head of a failure inside a stream is no event, and the stream goes on elsewhere.
     *
     * @param end end of the stream before the head
     */
    @Test(dataProvider = "places")
    public void headInsideStreamIsNotForwarded(String end) {
        String part = STREAM.substring(0, STREAM.indexOf(end) + end.length());
        List<String> defects = new ArrayList<>();
        for (String answer : withHead(part, "")) {
            TestCaller.Response response = send("/advice/", text(answer));
            if (!response.complete() || !response.body().equals(STREAM)) {
                defects.add("does not go on: " + response);
            }
        }
        for (String answer : withHead(part, "failure\n\n")) {
            defect(send("/advice/", text(answer), text(answer))).ifPresent(defects::add);
        }
        assertEquals(defects, List.of());
    }

    /** The head of a failure inside an event stream on a route without streams is no event. */
    @Test
    public void headInsideBufferedStreamIsNotForwarded() {
        List<String> defects = new ArrayList<>();
        for (String answer : withHead("id: 1\ndata: part 1\n\nid: 2\nda", "")) {
            TestCaller.Response response = send("/read/", text(answer));
            if (!response.body().equals(STREAM)) {
                defects.add("other bytes: " + response);
            }
        }
        assertEquals(defects, List.of());
    }

    /** Events that quote a head are forwarded. */
    @Test
    public void eventsThatQuoteHeadsArrive() {
        String quoted =
                "x-weight-versions: 3\nid: 1\ndata: HTTP/1.1 500 X\ndata: Content-Length: 7\n\n"
                        + "id: 2\nevent: text\ndata: as HTTP/1.1 200 OK\n\n: HTTP/1.1 500 X\n\n";
        TestCaller.Response response = send("/advice/", text(chunked("200 OK", events(), quoted)));
        assertEquals(response.body(), quoted);
        assertEquals(response.complete(), true);
    }

    /** A stream whose events have no ids cannot go on elsewhere: events would come twice. */
    @Test
    public void streamWithoutIdsIsNotRepeated() {
        String whole = "data: part 1\n\ndata: part 2\n\n";
        String cut = CHUNKED_STREAM + Integer.toHexString(whole.length()) + "\r\n" + whole;
        TestCaller.Response response =
                send("/advice/", text(cut), text(chunked("200 OK", events(), whole)));
        assertEquals(response.complete(), false);
        assertEquals(response.body(), whole);
    }

    /** An answer of another kind that breaks off is not continued by a stream. */
    @Test
    public void brokenAnswerOfOtherKindIsNotContinuedByStream() {
        String page =
                "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n{headers}Content-Length: 99\r\n\r\n"
                        + "<p>\n\nid: 1\n\n";
        TestCaller.Response response = send("/advice/", text(page));
        assertEquals(response.body(), STREAM);
        assertEquals(response.complete(), true);
    }

    // Streams that are broken off, so that the end of their connection tells it.
    private static List<AnswerScript> brokenStreams() {
        int inside = STREAM.indexOf("art 3");
        int between = STREAM.indexOf("id: 3");
        String whole = STREAM + "\n";
        return List.of(
                AnswerScript.cutStream(Framing.CHUNKS, STREAM, 0, End.CLOSE),
                AnswerScript.cutStream(Framing.CHUNKS, STREAM, between, End.RESET),
                AnswerScript.cutStream(Framing.CHUNKS, whole, STREAM.length(), End.CLOSE),
                AnswerScript.cutStream(Framing.LENGTH, STREAM, between, End.HALF_CLOSE),
                AnswerScript.cutStream(Framing.NEITHER, STREAM, inside, End.CLOSE));
    }

    // Returns what callers must not see when streams break off and another answer follows.
    private List<String> defects(List<AnswerScript> brokenStreams, String answer) {
        List<String> defects = new ArrayList<>();
        TestCaller.Response whole = send("/advice-3/", brokenStreams.get(1), text(answer));
        if (!whole.complete() || !whole.body().equals(STREAM)) {
            defects.add("does not go on: " + whole);
        }
        for (AnswerScript broken : brokenStreams) {
            Optional<String> defect = defect(send("/advice/", broken, text(answer)));
            defect.ifPresent(d -> defects.add(describe(broken) + ": " + d));
        }
        return defects;
    }

    // Returns streams with the head and body of a failure behind a part.
    private static List<String> withHead(String part, String body) {
        String bytes = part + answer("500 Failure", "", body);
        return List.of(
                UNFRAMED_STREAM + bytes,
                CHUNKED_STREAM + "fff\r\n" + bytes,
                chunked("200 OK", events(), bytes));
    }

    // Returns what a caller must not see of a stream.
    private static Optional<String> defect(TestCaller.Response response) {
        boolean wholeEvents = response.body().isEmpty() || response.body().endsWith("\n\n");
        if (!STREAM.startsWith(response.body()) || !wholeEvents) {
            return Optional.of("other bytes: " + response);
        }
        return response.complete() && !response.body().equals(STREAM)
                ? Optional.of("looks complete: " + response)
                : Optional.empty();
    }

    // Plays the answers in turn, whichever upstream is asked; further requests get a whole stream.
    private TestCaller.Response send(String prefix, Script... answers) {
        AtomicInteger turn = new AtomicInteger();
        AtomicInteger left = new AtomicInteger(answers.length);
        Script inTurn = (socket, id, h) -> answers[turn.getAndIncrement()].play(socket, id, h);
        servers().forEach(s -> s.script(inTurn, left, Mode.STREAM));
        AtomicReference<TestCaller.Response> response = new AtomicReference<>();
        // The entry sends nothing while it has no upstream that it trusts.
        ManagedEntryFixture.await(
                () -> {
                    requests++;
                    response.set(fixture.caller().send("POST", prefix + requests, KEY));
                    return turn.get() > 0;
                });
        return response.get();
    }

    private List<FakeUpstream> servers() {
        return List.of(fixture.first(), fixture.second(), third);
    }

    private static Script text(String answer) {
        return (socket, id, headers) -> {
            String idLine = "X-Request-Id: " + id + "\r\n";
            write(socket, withSize(answer.replace("{headers}", headers).replace("{id}", idLine)));
        };
    }

    // Fills in the size of the only chunk.
    private static String withSize(String answer) {
        int from = answer.indexOf(SIZE) + SIZE.length() + 2;
        int size = answer.length() - from - LAST_CHUNK.length();
        return answer.replace(SIZE, Integer.toHexString(Math.max(0, size)));
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.shutdownOutput();
    }

    private static String answer(String status, String headers, String body) {
        return head(status, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String chunked(String status, String headers, String body) {
        return head(status, headers)
                + "Transfer-Encoding: chunked\r\n\r\n"
                + SIZE
                + "\r\n"
                + body
                + LAST_CHUNK;
    }

    private static String head(String status, String headers) {
        return "HTTP/1.1 " + status + "\r\n{headers}" + headers;
    }

    private static String events() {
        return "Content-Type: text/event-stream\r\n";
    }

    private static String describe(AnswerScript script) {
        return script.framing() + " " + script.sentBytes() + " " + script.end();
    }

    private static String stream() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= FakeUpstream.EVENTS; i++) {
            text.append("id: ").append(i).append("\ndata: part ").append(i).append("\n\n");
        }
        return text.toString();
    }

    private static String withThreeAttempts() {
        String desired = ManagedEntryFixture.desired(2, KEY);
        int from = desired.indexOf("{\"name\":\"advice\"");
        int to = desired.indexOf('}', from) + 1;
        String route =
                desired.substring(from, to)
                        .replace("advice", "advice-3")
                        .replace("\"maxAttempts\":2", "\"maxAttempts\":3");
        return desired.substring(0, to) + "," + route + desired.substring(to);
    }
}
