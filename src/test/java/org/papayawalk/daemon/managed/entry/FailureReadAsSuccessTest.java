package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.stream.BodyEnd;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a failure of an upstream that its caller gets as a success. */
public final class FailureReadAsSuccessTest {
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    private static final int SUCCESS = 200;

    private static final int ERROR = 500;

    private static final String ERROR_TEXT = "failed";

    /** When the second copy arrives. */
    enum Arrival {
        /** With the end of the first answer. */
        WITH_FIRST_ANSWER,
        /** After the next request was sent. */
        BEFORE_NEXT_ANSWER,
        /** Together with the answer to the next request. */
        WITH_NEXT_ANSWER
    }

    /** Order of the headers of an answer. */
    enum Order {
        /** The id of the request first. */
        ID_FIRST,
        /** The id of the request last. */
        ID_LAST
    }

    /**
     * Answers and when their second copy arrives.
     *
     * @return framing, order of the headers, status of the first answer, arrival
     */
    @DataProvider
    public Object[][] secondCopies() {
        List<Object[]> rows = new ArrayList<>();
        for (BodyEnd f : List.of(BodyEnd.LENGTH, BodyEnd.LAST_CHUNK)) {
            for (Order o : Order.values()) {
                for (int status : new int[] {SUCCESS, 503}) {
                    for (Arrival a : Arrival.values()) {
                        rows.add(new Object[] {f, o, status, a});
                    }
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * The next request gets its own answer or fails, wherever the second copy is cut.
     *
     * @param framing what tells the end of the first answer
     * @param order order of the headers
     * @param status status of the first answer
     * @param arrival when the second copy arrives
     */
    @Test(dataProvider = "secondCopies")
    public void nextRequestGetsNoOtherAnswer(
            BodyEnd framing, Order order, int status, Arrival arrival) {
        String first = answer(status, "r1", "id: 1\ndata: a\n\n", framing, order);
        String next = answer(ERROR, "r2", ERROR_TEXT, BodyEnd.LENGTH, order);
        List<String> wrong = new ArrayList<>();
        for (int cut = 0; cut <= first.length(); cut++) {
            for (int bufferBytes : new int[] {1, 7, 4096}) {
                String outcome = play(first, first.substring(0, cut), next, arrival, bufferBytes);
                if (!List.of("not sent", "none", "failed", "500 " + ERROR_TEXT).contains(outcome)) {
                    wrong.add("cut at " + cut + ", buffers of " + bufferBytes + ": " + outcome);
                }
            }
        }
        assertEquals(wrong, List.of());
    }

    /**
     * A whole second copy changes nothing for the next request, unless it closes the connection.
     */
    @Test
    public void wholeSecondCopyIsSkipped() {
        for (BodyEnd f : List.of(BodyEnd.LENGTH, BodyEnd.LAST_CHUNK)) {
            String first = answer(SUCCESS, "r1", "id: 1\ndata: a\n\n", f, Order.ID_FIRST);
            String next = answer(SUCCESS, "r2", "own", f, Order.ID_FIRST);
            assertEquals(play(first, first, next, Arrival.WITH_NEXT_ANSWER, 4096), "200 own");
            assertEquals(play(first, first, next, Arrival.WITH_FIRST_ANSWER, 4096), "not sent");
        }
    }

    /** A connection is replaced before it would have to forget an id that it has carried. */
    @Test
    public void connectionIsReplacedBeforeItForgetsIds() {
        List<UpstreamConnection> released = new ArrayList<>();
        UpstreamConnection connection = new UpstreamConnection(() -> NOW, released::add);
        EmbeddedChannel channel = new EmbeddedChannel(connection.decoder(), connection);
        int sent = 0;
        while (released.size() == sent && channel.isOpen()) {
            sent++;
            String id = "r" + sent;
            assertTrue(connection.admits(id));
            send(connection, id, new Recorder());
            receive(channel, answer(SUCCESS, id, "a", BodyEnd.LENGTH, Order.ID_FIRST), 4096);
            channel.runPendingTasks();
            assertFalse(connection.admits(id));
        }
        assertEquals(sent, 256);
        assertFalse(channel.isOpen());
    }

    // Returns what the second of two requests on a connection gets.
    private static String play(
            String first, String copy, String next, Arrival arrival, int bufferBytes) {
        List<UpstreamConnection> released = new ArrayList<>();
        UpstreamConnection connection = new UpstreamConnection(() -> NOW, released::add);
        EmbeddedChannel channel = new EmbeddedChannel(connection.decoder(), connection);
        Recorder recorder = new Recorder();
        send(connection, "r1", new Recorder());
        boolean early = arrival == Arrival.WITH_FIRST_ANSWER;
        receive(channel, early ? first + copy : first, Math.max(bufferBytes, first.length()));
        channel.runPendingTasks();
        if (released.isEmpty() || !connection.isUsable(NOW)) {
            assertFalse(!early && copy.isEmpty(), "connection is not reused");
            return "not sent";
        }
        send(connection, "r2", recorder);
        switch (arrival) {
            case BEFORE_NEXT_ANSWER -> {
                receive(channel, copy, bufferBytes);
                receive(channel, next, bufferBytes);
            }
            case WITH_NEXT_ANSWER -> receive(channel, copy + next, bufferBytes);
            default -> receive(channel, next, bufferBytes);
        }
        return recorder.outcome();
    }

    private static void send(UpstreamConnection connection, String id, Recorder recorder) {
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x"),
                id,
                recorder);
    }

    private static void receive(EmbeddedChannel channel, String text, int bufferBytes) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length && channel.isOpen(); from += bufferBytes) {
            int length = Math.min(bufferBytes, bytes.length - from);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, from, length));
        }
    }

    private static String answer(int status, String id, String body, BodyEnd framing, Order order) {
        String idLine = "X-Request-Id: " + id + "\r\n";
        String lines =
                "Content-Type: text/event-stream\r\nX-Not-Executed: 1\r\nX-Server-Stamp: "
                        + ("s." + id)
                        + "\r\n";
        String head =
                "HTTP/1.1 %d Some reason\r\n".formatted(status)
                        + (order == Order.ID_FIRST ? idLine + lines : lines + idLine);
        if (framing == BodyEnd.LENGTH) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
        String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n";
    }

    /** Records what one request gets. Not thread-safe. */
    private static final class Recorder implements UpstreamListener {
        private final StringBuilder body = new StringBuilder();

        private int status;

        private String end = "none";

        @Override
        public void onSent() {
            // Every request is sent here.
        }

        @Override
        public void onHead(HttpResponse response, ResponseMetadata metadata) {
            status = response.status().code();
        }

        @Override
        public void onData(ByteBuf data) {
            body.append(data.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onComplete(BodyEnd bodyEnd) {
            end = "complete";
        }

        @Override
        public void onFailure(String reason, boolean connected) {
            end = "failed";
        }

        // A head alone counts, because it starts a stream.
        private String outcome() {
            return status == 0 ? end : status + " " + body;
        }
    }
}
