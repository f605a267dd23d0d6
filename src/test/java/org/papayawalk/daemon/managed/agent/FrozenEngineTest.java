package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.AnswerServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * An engine, or its whole machine, is frozen while a call is open. It handles the call after it
 * wakes, so the time of the freeze must not count as time in which the call would have ended.
 */
public final class FrozenEngineTest {
    private static final Duration FREEZE = Duration.ofSeconds(40);

    /** Time between reports of an engine that answers. */
    private static final Duration POLL = Duration.ofMillis(700);

    private static final int POLLS_UNTIL_CALLS_END = 20;

    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    private final AtomicReference<Instant> now = new AtomicReference<>(Instant.EPOCH);

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * A write that was open before the freeze is open after it, and ends later.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void writeStaysOpenOverFreeze() throws IOException {
        try (AnswerServer server = new AnswerServer()) {
            LocalEngine engine =
                    new LocalEngine(new AsyncHttpClient(loops), server.address(), now::get);
            report(engine, server);
            server.answer(new byte[0], false);
            assertFalse(engine.stage(manifest(1), 0, new byte[] {1}));
            now.updateAndGet(t -> t.plus(FREEZE));
            report(engine, server);
            assertTrue(engine.hasOpenWrites(manifest(2)));
            for (int i = 0; i < POLLS_UNTIL_CALLS_END; i++) {
                now.updateAndGet(t -> t.plus(POLL));
                report(engine, server);
            }
            assertFalse(engine.hasOpenWrites(manifest(2)));
        }
    }

    /**
     * A version staged by an earlier process, which may have ordered it, stays staged.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void orderOfEarlierProcessStaysOpenOverFreeze() throws IOException {
        try (AnswerServer server = new AnswerServer()) {
            LocalEngine engine =
                    new LocalEngine(new AsyncHttpClient(loops), server.address(), now::get);
            GuardedStagingArea area = new GuardedStagingArea(engine);
            report(engine, server);
            answer(server, "X");
            area.read(manifest(3), 0);
            now.updateAndGet(t -> t.plus(FREEZE));
            report(engine, server);
            answer(server, "");
            assertFalse(area.write(Digest.NONE, manifest(3), 0, new byte[] {3}));
        }
    }

    private static void report(LocalEngine engine, AnswerServer server) {
        answer(server, "{\"born\":1,\"models\":[],\"busy\":false,\"sequence\":1}");
        assertTrue(engine.report().isRight());
    }

    private static void answer(AnswerServer server, String body) {
        String head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s";
        server.answer(head.formatted(body.length(), body).getBytes(), false);
    }

    private static Manifest manifest(int version) {
        Digest digest = Digest.of(new byte[] {(byte) version});
        return new Manifest("m", "", Integer.toString(version), 1, 1, List.of(digest), digest);
    }
}
