package org.papayawalk.daemon.managed.weight;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.Fault;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.daemon.managed.PlatformSnapshot;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.platform.DesiredStateCodec;
import org.papayawalk.platform.EngineCodec;
import org.papayawalk.support.KeptConnectionServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards against chunks and manifests that are taken for others of their origin. */
public final class StutteringOriginTest {
    private static final WeightVersion VERSION = new WeightVersion("m", 2);

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * The second read is a read of its own, so that it tells a corrupt manifest.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void manifestIsReadTwice() throws IOException {
        int[] reads = {0};
        KeptConnectionServer.Answers answers =
                (target, earlier) -> {
                    String corrupt = KeptConnectionServer.answer(200, "corrupt");
                    String sound = KeptConnectionServer.answer(200, "sound");
                    reads[0]++;
                    return (earlier == 0 ? "" : corrupt) + (reads[0] == 1 ? corrupt : sound);
                };
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            Either<Fault, byte[]> manifest = origin(server).manifest(VERSION.digest());
            assertTrue(manifest.isLeft(), "a copy passed for the second read");
        }
    }

    /**
     * Each chunk is that of its own request.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void chunkIsThatOfItsRequest() throws IOException {
        String[] last = {""};
        KeptConnectionServer.Answers answers =
                (target, earlier) -> {
                    String copy = earlier == 0 ? "" : last[0];
                    last[0] = KeptConnectionServer.answer(200, target);
                    return copy + last[0];
                };
        try (KeptConnectionServer server = new KeptConnectionServer(answers)) {
            ManagedOrigin origin = origin(server);
            for (int i = 0; i < 4; i++) {
                byte[] chunk = origin.chunk(VERSION.digest(), i).get();
                String target = new String(chunk, StandardCharsets.US_ASCII);
                assertEquals(target, EngineCodec.chunkTarget("m", VERSION.number(), i));
            }
        }
    }

    private ManagedOrigin origin(KeptConnectionServer server) throws IOException {
        String desired =
                "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"origin\",\"origin\":\"%s\","
                        + "\"zone\":\"luzon-a\"}]}";
        DesiredState state =
                DesiredStateCodec.decode(
                                desired.formatted(server.address())
                                        .getBytes(StandardCharsets.UTF_8))
                        .desired();
        PlatformSnapshot snapshot =
                new PlatformSnapshot(Optional.of(state), Optional.empty(), Set.of(), Map.of());
        ManagedOrigin origin = new ManagedOrigin(new AsyncHttpClient(loops), () -> snapshot);
        origin.register(VERSION);
        return origin;
    }
}
