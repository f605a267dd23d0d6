package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.managed.weight.WeightVersion;
import org.papayawalk.http.AsyncHttpClient;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/**
 * Reads of staged chunks take long. Read one after the other, they make every verification too old
 * for an order, so that the version is never loaded.
 */
public final class SlowReadsTest {
    private static final int READS_AT_ONCE = 16;

    private static final int CHUNKS = 2 * READS_AT_ONCE;

    private static final byte[] CHUNK = {1};

    private final EventLoopGroup loops = new NioEventLoopGroup(1);

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final CyclicBarrier reads = new CyclicBarrier(READS_AT_ONCE);

    /** Ends the threads. */
    @AfterClass
    public void stop() {
        loops.shutdownGracefully();
        threads.shutdownNow();
    }

    /**
     * The engine answers reads only sixteen at a time.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void staysRecentAsReadsOverlap() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", this::answer);
        server.setExecutor(threads);
        server.start();
        String address = "127.0.0.1:" + server.getAddress().getPort();
        LocalEngine engine =
                new LocalEngine(new AsyncHttpClient(loops), address, () -> Instant.EPOCH);
        List<Digest> chunks = Collections.nCopies(CHUNKS, Digest.of(CHUNK));
        Manifest manifest = new Manifest("m", "", "1", CHUNKS, 1, chunks, Digest.of(CHUNK));
        StagedVersion staged =
                new StagedVersion(new WeightVersion("m", 1), manifest, Instant.EPOCH);
        assertTrue(new StagedChunkVerifier(engine).verify(staged, i -> Optional.empty()));
        server.stop(0);
    }

    private void answer(HttpExchange exchange) throws IOException {
        try {
            reads.await();
        } catch (InterruptedException | BrokenBarrierException e) {
            throw new IOException(e);
        }
        exchange.sendResponseHeaders(200, CHUNK.length);
        exchange.getResponseBody().write(CHUNK);
        exchange.close();
    }
}
