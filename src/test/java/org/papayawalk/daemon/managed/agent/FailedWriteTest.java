package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.AnswerServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A write of a chunk fails with a status that does not tell whether the engine executes it. Taken
 * for a write without effect, it would replace a chunk of a newer version that was verified.
 */
public final class FailedWriteTest {
    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
    }

    /**
     * Lists statuses.
     *
     * @return status, and whether the write may still be executed
     */
    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{500, true}, {502, true}, {504, true}, {403, false}, {503, false}};
    }

    /**
     * The write stays in the way of a newer version if it may still be executed.
     *
     * @param status status of the answer
     * @param open whether the write may still be executed
     * @throws IOException if no port is free
     */
    @Test(dataProvider = "statuses")
    public void writeWithoutOutcomeIsOpen(int status, boolean open) throws IOException {
        try (AnswerServer server = new AnswerServer()) {
            String head = "HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n".formatted(status);
            server.answer(head.getBytes(StandardCharsets.US_ASCII), false);
            LocalEngine engine =
                    new LocalEngine(
                            new AsyncHttpClient(loops), server.address(), () -> Instant.EPOCH);
            assertFalse(engine.stage(manifest(1), 0, new byte[] {1}));
            assertEquals(engine.hasOpenWrites(manifest(2)), open);
        }
    }

    private static Manifest manifest(int version) {
        Digest digest = Digest.of(new byte[] {(byte) version});
        return new Manifest("m", "", Integer.toString(version), 1, 1, List.of(digest), digest);
    }
}
