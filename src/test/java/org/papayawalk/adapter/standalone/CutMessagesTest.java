package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.papayawalk.core.Fault;
import org.papayawalk.support.AnswerServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Connections end at any byte of a response to {@link BlockingHttpClient} and of a request to
 * {@link BlockingHttpServer}. Checks that no part of a message is taken for the whole.
 */
public final class CutMessagesTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

    private static final String REQUEST = "POST /v1/orders HTTP/1.1\r\nHost: a\r\nX-Leaf: gold\r\n";

    private AnswerServer upstream;

    private BlockingHttpClient client;

    private BlockingHttpServer server;

    /** Requests that reached the handler of the server. */
    private final AtomicInteger handled = new AtomicInteger();

    /**
     * Starts both ends.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        upstream = new AnswerServer();
        client = new BlockingHttpClient(Duration.ofSeconds(5), 4);
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        server =
                new BlockingHttpServer(
                        new InetSocketAddress(loopback, 0),
                        (request, response, context) -> {
                            if (request.getEntity() != null) {
                                EntityUtils.consume(request.getEntity());
                            }
                            handled.incrementAndGet();
                        });
    }

    /**
     * Stops both ends.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        client.close();
        upstream.close();
        server.close();
    }

    /**
     * Responses that tell their own end.
     *
     * @return text and body
     */
    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {HEAD + "Content-Length: 12\r\n\r\nhello, baker", "hello, baker"},
            {HEAD + "Content-Length: 0\r\n\r\n", ""},
            {HEAD + CHUNKED + "005\r\nhello\r\n7\r\n, baker\r\n0\r\n\r\n", "hello, baker"},
            {HEAD + CHUNKED + "5\r\nhello\r\n0\r\nX-A: b\r\n\r\n", "hello"},
        };
    }

    /**
     * Requests that tell their own end.
     *
     * @return text
     */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {REQUEST + "Content-Length: 4\r\n\r\nleaf"},
            {REQUEST + CHUNKED + "004\r\nleaf\r\n0\r\n\r\n"},
            {REQUEST + "\r\n"},
        };
    }

    /**
     * A response is accepted whole only.
     *
     * @param text response
     * @param body its body
     */
    @Test(dataProvider = "responses")
    public void partOfResponseIsNoResponse(String text, String body) {
        byte[] whole = text.getBytes(StandardCharsets.US_ASCII);
        for (int at = 0; at < whole.length; at++) {
            assertTrue(get(Arrays.copyOf(whole, at)).isLeft(), "cut at " + at + " of " + text);
        }
        assertEquals(get(whole).get().text(), body);
    }

    /**
     * A response without a length or chunks is whole when its connection ends, but not its head.
     */
    @Test
    public void unframedResponseEndsWithItsConnection() {
        byte[] whole = (HEAD + "\r\nhello").getBytes(StandardCharsets.US_ASCII);
        for (int at = 0; at < HEAD.length() + 2; at++) {
            assertTrue(get(Arrays.copyOf(whole, at)).isLeft(), "cut at " + at);
        }
        assertEquals(get(whole).get().text(), "hello");
    }

    /** An event stream is accepted only if it ends behind an event, whatever tells its end. */
    @Test
    public void partOfEventStreamIsNoResponse() {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n";
        String events = "id: 1\r\ndata: leaf\r\n\r\nid: 2\r\ndata: gold\r\n\r\n";
        int first = events.indexOf("id: 2");
        for (int at = 0; at <= events.length(); at++) {
            String part = events.substring(0, at);
            boolean behindEvent = at == first || at == events.length();
            String chunk = Integer.toHexString(at) + "\r\n" + part + "\r\n";
            String chunks = CHUNKED + (at == 0 ? "" : chunk) + "0\r\n\r\n";
            assertEquals(isAccepted(head + "\r\n" + part), behindEvent, "cut at " + at);
            assertEquals(isAccepted(head + chunks), behindEvent || at == 0, "chunks, " + at);
        }
    }

    /**
     * A request is handled whole only.
     *
     * @param text request
     * @throws IOException if the server does not listen
     */
    @Test(dataProvider = "requests")
    public void partOfRequestIsNotHandled(String text) throws IOException {
        byte[] whole = text.getBytes(StandardCharsets.US_ASCII);
        for (int at = 0; at < whole.length; at++) {
            handled.set(0);
            send(Arrays.copyOf(whole, at));
            assertEquals(handled.get(), 0, "cut at " + at + " of " + text);
        }
        handled.set(0);
        assertTrue(send(whole).startsWith("HTTP/1.1 200 OK\r\n"));
        assertEquals(handled.get(), 1);
    }

    private boolean isAccepted(String answer) {
        return get(answer.getBytes(StandardCharsets.US_ASCII)).isRight();
    }

    private Either<Fault, ClientResponse> get(byte[] answer) {
        upstream.answer(answer, false);
        return client.execute(ClientRequest.get("test", upstream.address(), "/x"));
    }

    // Returns when the server has closed the connection, by a reset if the request was cut.
    private String send(byte[] request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.getOutputStream().write(request);
            socket.shutdownOutput();
            byte[] response = socket.getInputStream().readAllBytes();
            return new String(response, StandardCharsets.US_ASCII);
        } catch (SocketException e) {
            assertEquals(e.getMessage(), "Connection reset");
            return "";
        }
    }
}
