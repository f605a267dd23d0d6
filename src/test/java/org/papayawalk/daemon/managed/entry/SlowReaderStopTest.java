package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Stops an entry while callers still read long answers. Checks that they get them whole. */
public final class SlowReaderStopTest {
    private static final int ANSWER_BYTES = 8_000_000;

    private static final int CALLERS = 2;

    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private static final int READ_BYTES = 50_000;

    /** Pause between reads, so that an answer takes some 5 s. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        for (FakeUpstream u : List.of(fixture.first(), fixture.second())) {
            u.script(SlowReaderStopTest::answer, new AtomicInteger(CALLERS), Mode.WHOLE);
        }
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
        threads.shutdownNow();
    }

    /** An answer that is complete at the entry is read whole by its caller. */
    @Test
    public void slowCallersGetWholeAnswers() {
        List<CompletableFuture<Integer>> bodies = new ArrayList<>();
        AtomicInteger begun = new AtomicInteger();
        for (int i = 0; i < CALLERS; i++) {
            bodies.add(CompletableFuture.supplyAsync(() -> readSlowly(begun), threads));
        }
        ManagedEntryFixture.await(() -> begun.get() == CALLERS);
        long stoppedNanos = System.nanoTime();
        fixture.role().stop();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos);
        assertTrue(millis < 8000, "stopped after " + millis + " ms");
        bodies.forEach(b -> assertEquals(b.join().intValue(), ANSWER_BYTES));
    }

    private static void answer(Socket socket, String id, String headers) throws IOException {
        String head = "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + ANSWER_BYTES;
        OutputStream out = socket.getOutputStream();
        out.write((head + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(new byte[ANSWER_BYTES]);
        out.flush();
    }

    // Returns the length of the body that was received. Keeps the connection after the request.
    private int readSlowly(AtomicInteger begun) {
        int received = 0;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress("127.0.0.1", fixture.caller().port()));
            TestCaller.write(
                    socket,
                    "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Credential: key-1\r\n"
                            + "X-Request-Id: slow\r\n\r\n");
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (!head.toString().endsWith("\r\n\r\n")) {
                head.append((char) in.read());
            }
            begun.incrementAndGet();
            int length = READ_BYTES;
            while (length == READ_BYTES && received < ANSWER_BYTES) {
                int wanted = Math.min(READ_BYTES, ANSWER_BYTES - received);
                length = in.readNBytes(wanted).length;
                received += length;
                LockSupport.parkNanos(PAUSE_NANOS);
            }
        } catch (IOException e) {
            // The answer is incomplete.
        }
        return received;
    }
}
