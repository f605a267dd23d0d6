package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.daemon.managed.AnswerScript.End;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.http.AsyncHttpRequest;
import org.papayawalk.http.AsyncHttpResponse;
import org.papayawalk.platform.StoreCodec;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The store, an origin or an engine breaks off its answer. Checks that no part of an answer is
 * taken for the whole.
 */
public final class BrokenServerAnswerTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /** Rows as the store sends them. */
    private static final String ROWS =
            "{\"ver\":12,\"rows\":[{\"table\":\"op\",\"part\":\"\",\"key\":\"a\","
                    + "\"value\":\"YQ==\",\"ver\":12}],\"hasMore\":false}";

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

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
     * Kinds of framing.
     *
     * @return framing
     */
    @DataProvider
    public Object[][] framings() {
        return List.of(Framing.values()).stream()
                .map(f -> new Object[] {f})
                .toArray(Object[][]::new);
    }

    /**
     * A whole answer arrives.
     *
     * @param framing what tells the end of the body
     */
    @Test(dataProvider = "framings")
    public void wholeAnswerArrives(Framing framing) {
        for (End end : List.of(End.CLOSE, End.HALF_CLOSE)) {
            Either<Fault, AsyncHttpResponse> response = request(framing, ROWS.length(), end);
            assertEquals(new String(response.get().body(), StandardCharsets.UTF_8), ROWS);
        }
    }

    /**
     * An answer that is cut fails if its framing or a reset tells; without either, the rows of the
     * store cannot be decoded.
     *
     * @param framing what would have told the end of the body
     */
    @Test(dataProvider = "framings")
    public void partOfAnAnswerIsNoAnswer(Framing framing) {
        boolean framed = framing == Framing.LENGTH || framing == Framing.CHUNKS;
        for (End end : End.values()) {
            for (int at = 0; at < ROWS.length(); at += 9) {
                Either<Fault, AsyncHttpResponse> response = request(framing, at, end);
                String text = framing + " " + end + " at " + at;
                if (framed || end == End.RESET) {
                    assertTrue(response.isLeft(), text);
                } else {
                    assertTrue(response.isLeft() || !isDecodable(response.get().body()), text);
                }
            }
        }
    }

    private Either<Fault, AsyncHttpResponse> request(Framing framing, int at, End end) {
        AnswerScript script = new AnswerScript(framing, "application/json", ROWS, at, end);
        server.script(script, new AtomicInteger(1), Mode.WHOLE);
        return new AsyncHttpClient(loops)
                .send(AsyncHttpRequest.get(server.address(), "/x", REQUEST_TIMEOUT))
                .join();
    }

    private static boolean isDecodable(byte[] body) {
        try {
            StoreCodec.decode(body, StoreEra.INITIAL, true);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
