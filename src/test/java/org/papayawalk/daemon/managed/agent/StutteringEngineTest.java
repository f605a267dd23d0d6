package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.KeptConnectionServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards against the answer to an earlier call that passes for that of an order. */
public final class StutteringEngineTest {
    private static final String REPORT = report(1, 3);

    private static final byte[] CHUNK = {'a'};

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * A refused order is not accepted, whatever was answered before.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void refusedOrderIsNotAccepted() throws IOException {
        try (KeptConnectionServer server = server(KeptConnectionServer.answer(409, ""))) {
            LocalEngine engine = engine(server);
            assertTrue(engine.report().isRight());
            assertEquals(engine.load(new WeightVersion("m", 2), 3), Either.right(false));
        }
    }

    /**
     * An order whose outcome is not known is not settled by another answer.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void failedOrderStaysOpen() throws IOException {
        try (KeptConnectionServer server = server(KeptConnectionServer.answer(500, ""))) {
            LocalEngine engine = engine(server);
            assertTrue(engine.report().isRight());
            Either<Fault, Boolean> accepted = engine.load(new WeightVersion("m", 2), 3);
            assertEquals(accepted.getLeft().kind(), FaultKind.UNKNOWN_OUTCOME);
        }
    }

    /**
     * A write whose outcome is not known stays open, also behind another write.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void failedWriteStaysOpen() throws IOException {
        KeptConnectionServer.Answers answers =
                (target, earlier) ->
                        target.endsWith("=0")
                                ? KeptConnectionServer.answer(200, "")
                                : copyBefore(
                                        earlier,
                                        KeptConnectionServer.answer(200, ""),
                                        KeptConnectionServer.answer(500, ""));
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            LocalEngine engine = engine(server);
            assertTrue(engine.stage(manifest(1), 0, CHUNK));
            assertFalse(engine.stage(manifest(1), 1, CHUNK));
            assertTrue(engine.hasOpenWrites(manifest(2)));
        }
    }

    /**
     * A chunk that is not staged is not read, also behind a read of one that is.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void missingChunkIsNotRead() throws IOException {
        String staged = KeptConnectionServer.answer(200, "a");
        String missing = KeptConnectionServer.answer(404, "");
        KeptConnectionServer.Answers answers =
                (target, earlier) ->
                        target.endsWith("=0") ? staged : copyBefore(earlier, staged, missing);
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            LocalEngine engine = engine(server);
            assertTrue(engine.readStaged(manifest(1), 0).get().isPresent());
            assertEquals(engine.readStaged(manifest(1), 1), Either.right(Optional.empty()));
        }
    }

    /**
     * A report sent once more, after the engine has told of a further order, is not believed.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void reportOfBeforeIsNotTaken() throws IOException {
        String later = report(1, 4);
        int[] reports = {0};
        KeptConnectionServer.Answers answers =
                (target, earlier) -> {
                    reports[0]++;
                    String answer = reports[0] == 1 ? REPORT : later;
                    return reports[0] == 3 ? REPORT + answer : answer;
                };
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            LocalEngine engine = engine(server);
            assertEquals(engine.report().get().orders(), 3);
            assertEquals(engine.report().get().orders(), 4);
            assertEquals(engine.report().get().orders(), 4);
            assertEquals(engine.lastReport().get().orders(), 4);
        }
    }

    /**
     * Fewer orders than before are believed if the engine says so on a new connection.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void forgottenOrdersAreBelieved() throws IOException {
        int[] reports = {0};
        KeptConnectionServer.Answers answers =
                (target, earlier) -> reports[0]++ == 0 ? REPORT : report(1, 0);
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            LocalEngine engine = engine(server);
            assertEquals(engine.report().get().orders(), 3);
            assertEquals(engine.report().get().orders(), 0);
        }
    }

    /**
     * Reports, which are read all the time, go over one connection.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void reportsShareOneConnection() throws IOException {
        try (KeptConnectionServer server = server(KeptConnectionServer.answer(409, ""))) {
            LocalEngine engine = engine(server);
            for (int i = 0; i < 3; i++) {
                assertTrue(engine.report().isRight());
            }
            assertEquals(server.connections(), 1);
        }
    }

    // Answers reports, and other calls with the report once more if it was sent on their
    // connection.
    private static KeptConnectionServer server(String answer) throws IOException {
        return new KeptConnectionServer(
                (target, earlier) ->
                        target.equals("/report") ? REPORT : copyBefore(earlier, REPORT, answer));
    }

    private static String report(long born, long orders) {
        String body = "{\"born\":%d,\"models\":[],\"sequence\":%d}".formatted(born, orders);
        return KeptConnectionServer.answer(200, body);
    }

    private static String copyBefore(int earlier, String copy, String answer) {
        return earlier == 0 ? answer : copy + answer;
    }

    private LocalEngine engine(KeptConnectionServer server) {
        return new LocalEngine(new AsyncHttpClient(loops), server.address(), () -> Instant.EPOCH);
    }

    private static Manifest manifest(int version) {
        Digest digest = Digest.of(new byte[] {(byte) version});
        return new Manifest(
                "m", "", Integer.toString(version), 2, 1, List.of(digest, digest), digest);
    }
}
