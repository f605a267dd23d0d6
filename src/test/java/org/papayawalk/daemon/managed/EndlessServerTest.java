package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.Fault;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.support.Await;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A server sends bytes that never become an answer, as the store, an origin or an engine might.
 * Checks that the request fails at once, that its connection is closed and that memory is bounded.
 */
public final class EndlessServerTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /** Bound for bytes that are sent fast. */
    private static final long FAST_MILLIS = 2000;

    private static final long AWAIT_TIMEOUT_MILLIS = 2000;

    /** Bound of a client's buffers, in bytes. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    /** Requests at once. */
    private static final int REQUESTS = 12;

    private static final int MANY_RESPONSES = 1000;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    private FakeUpstream server;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        server = new FakeUpstream(Mode.WHOLE);
    }

    /**
     * Stops the server.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        server.close();
        loops.shutdownGracefully();
    }

    /**
     * Endless answers.
     *
     * @return bytes
     */
    @DataProvider
    public Object[][] endlessAnswers() {
        String chunked = EndlessBytes.CHUNKED;
        String extension = "1;" + "e".repeat(2000) + "\r\na\r\n";
        return new Object[][] {
            {EndlessBytes.fast("status line", "HTTP/1.1 200 ", "x")},
            {EndlessBytes.fast("blank lines", "", "\r\n")},
            {EndlessBytes.fast("header lines", EndlessBytes.HEAD, "X-A: v\r\n")},
            {EndlessBytes.fast("1xx heads", "", "HTTP/1.1 100 Continue\r\n\r\n")},
            {EndlessBytes.fast("chunk extensions", chunked, extension)},
            {EndlessBytes.fast("trailers", chunked + "0\r\n", "X-A: v\r\n")},
            {EndlessBytes.fast("chunks", chunked, "400\r\n" + "a".repeat(1024) + "\r\n")},
            {EndlessBytes.fast("unframed body", EndlessBytes.HEAD + "\r\n", "abcd")},
        };
    }

    /**
     * A request fails at once and its connection is closed.
     *
     * @param bytes endless bytes
     */
    @Test(dataProvider = "endlessAnswers")
    public void requestFailsAtOnce(EndlessBytes bytes) {
        AsyncHttpClient client = new AsyncHttpClient(loops);
        endless(bytes);
        long startNanos = System.nanoTime();
        assertTrue(client.send(request()).join().isLeft(), bytes.name());
        long millis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        assertTrue(millis < FAST_MILLIS, bytes.name() + ": failed after " + millis + " ms");
        Await.within(AWAIT_TIMEOUT_MILLIS, () -> server.scriptedConnections() == 0);
        assertTrue(client.send(request()).join().isRight(), bytes.name());
    }

    /** An informational response is not the response. */
    @Test
    public void informationalResponseIsSkipped() {
        String hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        endless(EndlessBytes.fast("hints", hints + EndlessBytes.EMPTY, "x"));
        assertEquals(new AsyncHttpClient(loops).send(request()).join().get().status(), 200);
    }

    /** A request fails at a small part of endless informational responses. */
    @Test
    public void manyInformationalResponsesFail() {
        String hints = "HTTP/1.1 100 Continue\r\n\r\n".repeat(MANY_RESPONSES);
        endless(EndlessBytes.fast("hints", hints + EndlessBytes.EMPTY, "x"));
        assertTrue(new AsyncHttpClient(loops).send(request()).join().isLeft());
    }

    /** Many endless bodies at once hold no more than the bound, and nothing afterwards. */
    @Test
    public void memoryIsBounded() {
        AsyncHttpClient client = new AsyncHttpClient(loops);
        server.script(
                EndlessBytes.fast("body", EndlessBytes.HEAD + "\r\n", "abcd"),
                new AtomicInteger(REQUESTS),
                Mode.WHOLE);
        List<CompletableFuture<Either<Fault, AsyncHttpResponse>>> responses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            responses.add(client.send(request()));
        }
        long peak = 0;
        while (!responses.stream().allMatch(CompletableFuture::isDone)) {
            peak = Math.max(peak, client.bufferedBytes());
            Thread.onSpinWait();
        }
        assertTrue(peak <= MAX_BUFFERED_BYTES, "buffered " + peak + " bytes");
        responses.forEach(r -> assertTrue(r.join().isLeft()));
        Await.within(AWAIT_TIMEOUT_MILLIS, () -> client.bufferedBytes() == 0);
        Await.within(AWAIT_TIMEOUT_MILLIS, () -> server.scriptedConnections() == 0);
    }

    /** A connection that gets bytes while it is idle is closed, whatever they are. */
    @Test
    public void idleConnectionIsClosedAtFirstByte() {
        EndlessBytes extra = EndlessBytes.fast("extra bytes", EndlessBytes.EMPTY, "\r\n");
        endless(extra.trickled(Duration.ofMillis(20)));
        assertTrue(new AsyncHttpClient(loops).send(request()).join().isRight());
        Await.within(AWAIT_TIMEOUT_MILLIS, () -> server.scriptedConnections() == 0);
    }

    private void endless(EndlessBytes bytes) {
        server.script(bytes, new AtomicInteger(1), Mode.WHOLE);
    }

    private AsyncHttpRequest request() {
        return AsyncHttpRequest.get(server.address(), "/", REQUEST_TIMEOUT);
    }
}
