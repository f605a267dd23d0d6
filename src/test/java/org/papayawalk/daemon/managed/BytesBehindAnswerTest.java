package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.core.Fault;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.support.KeptConnectionServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards against an answer that is taken from bytes behind an earlier one. */
public final class BytesBehindAnswerTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private static final String FIRST = KeptConnectionServer.answer(200, "first");

    private static final String SECOND = KeptConnectionServer.answer(500, "second");

    private static final String CHUNKED_FIRST = KeptConnectionServer.chunkedAnswer(200, "first");

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * The next request gets its own answer, wherever the second copy is cut.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void nextRequestGetsItsOwnAnswer() throws IOException {
        List<String> wrong = new ArrayList<>();
        for (String first : List.of(FIRST, CHUNKED_FIRST)) {
            for (int cut = 1; cut <= first.length(); cut++) {
                String outcome = secondOutcome(first, first.substring(0, cut));
                if (!outcome.equals("500 second")) {
                    wrong.add("cut at " + cut + ": " + outcome);
                }
            }
        }
        assertEquals(String.join("\n", wrong), "");
    }

    /**
     * A connection without bytes behind its answer is reused.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void cleanConnectionIsReused() throws IOException {
        try (KeptConnectionServer server = new KeptConnectionServer((t, n) -> FIRST)) {
            AsyncHttpClient client = new AsyncHttpClient(loops);
            for (int i = 0; i < 3; i++) {
                assertEquals(outcome(client.send(request(server, "/first")).join()), "200 first");
            }
            assertEquals(server.connections(), 1);
        }
    }

    // Returns what a request gets that is sent as soon as the first answer is known.
    private String secondOutcome(String first, String behindFirst) throws IOException {
        KeptConnectionServer.Answers answers =
                (target, n) -> target.equals("/first") ? first + behindFirst : SECOND;
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            AsyncHttpClient client = new AsyncHttpClient(loops);
            return client.send(request(server, "/first"))
                    .thenCompose(r -> client.send(request(server, "/second")))
                    .thenApply(BytesBehindAnswerTest::outcome)
                    .join();
        }
    }

    private static AsyncHttpRequest request(KeptConnectionServer server, String target) {
        return AsyncHttpRequest.get(server.address(), target, REQUEST_TIMEOUT);
    }

    private static String outcome(Either<Fault, AsyncHttpResponse> result) {
        return result.fold(
                Fault::toString,
                a -> a.status() + " " + new String(a.body(), StandardCharsets.US_ASCII));
    }
}
