package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.support.KeptConnectionServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a failure of a server that is read as a success. */
public final class NestedAnswerTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private static final String HEAD_END = "\r\n\r\n";

    private static final String CHUNKED_WITH_TRAILER =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nDigest: abc\r\n\r\n";

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * Answers, and the part of their second copy in which it may be cut.
     *
     * @return answer, first and last number of bytes of the copy
     */
    @DataProvider
    public Object[][] copies() {
        String plain = KeptConnectionServer.answer(200, "first");
        String chunked = KeptConnectionServer.chunkedAnswer(200, "first");
        int trailers = CHUNKED_WITH_TRAILER.indexOf("Digest");
        return new Object[][] {
            {plain, 1, headLength(plain)},
            {chunked, 1, headLength(chunked)},
            {CHUNKED_WITH_TRAILER, trailers, CHUNKED_WITH_TRAILER.length()},
        };
    }

    /**
     * The next request gets its own answer or fails.
     *
     * @param first answer
     * @param from least number of bytes of the copy
     * @param to number of bytes of the copy before which to end
     * @throws IOException if no port is free
     */
    @Test(dataProvider = "copies")
    public void nextRequestGetsNoSuccess(String first, int from, int to) throws IOException {
        List<String> wrong = new ArrayList<>();
        for (int cut = from; cut < to; cut++) {
            Either<Fault, AsyncHttpResponse> second = second(first, first.substring(0, cut));
            if (second.isRight() && second.get().status() != 500) {
                wrong.add("cut at " + cut + ": " + second.get().status());
            }
        }
        assertEquals(String.join("\n", wrong), "");
    }

    private Either<Fault, AsyncHttpResponse> second(String first, String beforeSecond)
            throws IOException {
        String failure = KeptConnectionServer.answer(500, "second");
        KeptConnectionServer.Answers answers =
                (target, earlier) -> earlier == 0 ? first : beforeSecond + failure;
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            AsyncHttpClient client = new AsyncHttpClient(loops);
            AsyncHttpRequest request = AsyncHttpRequest.get(server.address(), "/", REQUEST_TIMEOUT);
            assertEquals(client.send(request).join().get().status(), 200);
            Either<Fault, AsyncHttpResponse> second = client.send(request).join();
            assertEquals(server.connections(), 1);
            return second;
        }
    }

    private static int headLength(String answer) {
        return answer.indexOf(HEAD_END) + HEAD_END.length();
    }
}
