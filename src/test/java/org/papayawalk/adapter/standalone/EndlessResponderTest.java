package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A server sends bytes that never become an answer to a {@link BlockingHttpClient}. Checks that the
 * call fails in bounded time and memory, and that the connection is closed.
 */
public final class EndlessResponderTest {
    private static final Duration READ_TIMEOUT = Duration.ofMillis(200);

    /** Bound of a call: 10 read timeouts for its head, 10 for its body and some slack. */
    private static final long CALL_MILLIS = 4500;

    /** Bound of a test, so that a client that reads without end fails instead of hanging. */
    private static final long TEST_TIMEOUT_MILLIS = 10_000;

    private static final int BURST_BYTES = 16 * 1024;

    private static final long TRICKLE_PAUSE_MILLIS = 20;

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final AtomicInteger openConnections = new AtomicInteger();

    private volatile String start;

    private volatile String unit;

    private volatile boolean trickled;

    private ServerSocket server;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void startServer() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    /**
     * Stops the server.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterClass
    public void stopServer() throws IOException {
        server.close();
        threads.shutdownNow();
    }

    /**
     * Endless answers: bytes that are sent once, bytes that are repeated, and whether with pauses.
     *
     * @return arguments
     */
    @DataProvider
    public Object[][] endlessAnswers() {
        return new Object[][] {
            {"HTTP/1.1 200 ", "x", false},
            {"HTTP/1.1 200 ", "x", true},
            {"HTTP/1.1 200 OK\r\n", "X-A: v\r\n", false},
            {"HTTP/1.1 200 OK\r\n", "X-A: v\r\n", true},
            {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
            {"", "HTTP/1.1 100 Continue\r\n\r\n", true},
            {CHUNKED, "1;" + "e".repeat(2000) + "\r\na\r\n", true},
            {CHUNKED + "1;", "e", false},
            {CHUNKED + "0\r\n", "X-A: v\r\n", false},
            {CHUNKED, "4\r\nabcd\r\n", false},
            {"HTTP/1.1 200 OK\r\n\r\n", "abcd", false},
            {"HTTP/1.1 200 OK\r\n\r\n", "abcd", true},
        };
    }

    /**
     * A call fails in time and closes its connection.
     *
     * @param newStart bytes that are sent once
     * @param newUnit bytes that are repeated
     * @param pauses whether the server pauses after each unit
     * @throws InterruptedException if the wait is interrupted
     */
    @Test(dataProvider = "endlessAnswers", timeOut = TEST_TIMEOUT_MILLIS)
    public void callFailsInTime(String newStart, String newUnit, boolean pauses)
            throws InterruptedException {
        start = newStart;
        unit = newUnit;
        trickled = pauses;
        long startNanos = System.nanoTime();
        try (BlockingHttpClient client = BlockingHttpClient.keepingConnections(READ_TIMEOUT, 2)) {
            String address = "127.0.0.1:" + server.getLocalPort();
            assertTrue(client.execute(ClientRequest.get("test", address, "/")).isLeft());
            long millis = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
            assertTrue(millis < CALL_MILLIS, "failed after " + millis + " ms");
            for (int i = 0; i < 100 && openConnections.get() > 0; i++) {
                TimeUnit.MILLISECONDS.sleep(TRICKLE_PAUSE_MILLIS);
            }
            assertTrue(openConnections.get() == 0, "connection stays open");
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                openConnections.incrementAndGet();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            OutputStream out = socket.getOutputStream();
            write(out, start);
            String burst = trickled ? unit : unit.repeat(1 + BURST_BYTES / unit.length());
            while (true) {
                write(out, burst);
                TimeUnit.MILLISECONDS.sleep(trickled ? TRICKLE_PAUSE_MILLIS : 0);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            openConnections.decrementAndGet();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
