package org.papayawalk.http;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.Fault;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends requests to a server whose open connections go silent while new ones are served. */
public final class AsyncHttpClientTest {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final AtomicInteger accepted = new AtomicInteger();

    // The first answers are sent once two requests have come, so that two connections are open.
    private final CountDownLatch firstRequests = new CountDownLatch(2);

    // Connections with lower numbers are silent; they are numbered in the order of acceptance.
    private volatile int silentBelow;

    private ServerSocket server;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        threads.execute(this::acceptAll);
    }

    /**
     * Stops the server.
     *
     * @throws IOException if it cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        server.close();
        threads.shutdownNow();
        loops.shutdownGracefully();
    }

    /** After a timeout, a request does not go over another connection that is as old. */
    @Test
    public void timeoutRetiresOtherIdleConnections() {
        AsyncHttpClient client = new AsyncHttpClient(loops);
        List<CompletableFuture<Either<Fault, AsyncHttpResponse>>> first =
                List.of(client.send(request()), client.send(request()));
        first.forEach(r -> assertTrue(r.join().isRight()));
        silentBelow = accepted.get();
        assertTrue(client.send(request()).join().isLeft());
        assertTrue(client.send(request()).join().isRight(), "sent over a silent connection");
    }

    private AsyncHttpRequest request() {
        String address = "127.0.0.1:" + server.getLocalPort();
        return AsyncHttpRequest.get(address, "/", REQUEST_TIMEOUT);
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                int number = accepted.getAndIncrement();
                threads.execute(() -> serve(socket, number));
            }
        } catch (IOException e) {
            // The test has ended.
            return;
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!line.isEmpty()) {
                    continue;
                }
                firstRequests.countDown();
                firstRequests.await();
                if (number >= silentBelow) {
                    socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
                }
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
