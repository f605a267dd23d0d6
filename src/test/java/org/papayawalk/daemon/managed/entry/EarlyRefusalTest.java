package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.papayawalk.support.Threads;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against another request where the rest of a refused body is due. */
public final class EarlyRefusalTest {
    private static final String KEY = "key-1";

    /** Length of a body that exceeds the buffers of a connection on loopback. */
    private static final int BODY_BYTES = 8 * 1024 * 1024;

    /** Receive buffer of the upstream, so that a long body is not written at once. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** Pause after a refusal, longer than the entry needs to read it. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private static final String HEAD_END = "\r\n\r\n";

    private static final byte[] REFUSAL =
            ("HTTP/1.1 503 Busy\r\nX-Server-Stamp: code\r\n"
                            + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8);

    /** Bytes that each connection received. */
    private final List<ByteArrayOutputStream> received = new CopyOnWriteArrayList<>();

    private ManagedEntryFixture fixture;

    private ServerSocket listener;

    /**
     * Starts the fakes and an entry that uses an upstream that refuses early.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        Threads.start("early-refusal", this::accept);
        String entry =
                """
                {"service":"desk","address":"127.0.0.1:%d","zone":"luzon-a","slots":4,
                 "state":"ready","born":1}
                """
                        .formatted(listener.getLocalPort());
        String desired = ManagedEntryFixture.desired(2, KEY);
        String longBodies = "\"maxBodyBytes\":" + 2 * BODY_BYTES;
        fixture.store().put("op", "config", desired.replace("\"maxBodyBytes\":4096", longBodies));
        fixture.store().put("servers", "i-3", entry);
        for (String id : List.of("i-1", "i-2")) {
            fixture.store().remove("servers", id);
            ManagedEntryFixture.await(() -> !fixture.knowsUsable(id));
        }
        ManagedEntryFixture.await(() -> fixture.knowsUsable("i-3"));
        ManagedEntryFixture.await(() -> refuse("/read/x", 5000) == 503);
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        listener.close();
        fixture.close();
    }

    /** No connection carries anything else where the rest of a body is due. */
    @Test
    public void restOfBodyIsNeverAnotherRequest() {
        for (String target : List.of("/read/x", "/pay/x")) {
            assertEquals(refuse(target, BODY_BYTES), 503, target);
            assertEquals(refuse("/read/y", 5), 503, target);
        }
        int cutBodies = 0;
        for (ByteArrayOutputStream bytes : received) {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            for (int from = 0; from < text.length(); ) {
                int bodyStart = text.indexOf(HEAD_END, from) + HEAD_END.length();
                int next = bodyStart + length(text.substring(from, bodyStart));
                String body = text.substring(bodyStart, Math.min(next, text.length()));
                cutBodies += next > text.length() ? 1 : 0;
                assertEquals(body.replace("x", ""), "", "bytes inside a body");
                from = next;
            }
        }
        assertTrue(cutBodies > 0, "no body was refused before its end");
    }

    // Sends a request and returns the status of its answer.
    private int refuse(String target, int bodyBytes) {
        String request =
                fixture.caller()
                        .request("POST", target, KEY)
                        .replace("Content-Length: 5", "Content-Length: " + bodyBytes)
                        .replace("hello", "x".repeat(bodyBytes));
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, request);
            return TestCaller.read(socket).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Threads.start("early-refusal", () -> serve(socket));
            }
        } catch (IOException e) {
            // The upstream was closed.
        }
    }

    // Refuses each request once its head has come, and reads on after a pause, so that the refusal
    // is at the entry before the end of a long body is in the buffers.
    private void serve(Socket socket) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        received.add(bytes);
        try (socket) {
            byte[] buffer = new byte[RECEIVE_BUFFER_BYTES];
            int from = 0;
            for (int n = 0; n >= 0; n = socket.getInputStream().read(buffer)) {
                bytes.write(buffer, 0, n);
                if (bytes.size() <= from) {
                    continue;
                }
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                int end = text.indexOf(HEAD_END, from);
                if (end >= 0) {
                    socket.getOutputStream().write(REFUSAL);
                    LockSupport.parkNanos(PAUSE_NANOS);
                    from = end + HEAD_END.length() + length(text.substring(from, end));
                }
            }
        } catch (IOException e) {
            // The entry closed the connection.
        }
    }

    private static int length(String head) {
        Matcher length = LENGTH.matcher(head);
        return length.find() ? Integer.parseInt(length.group(1)) : 0;
    }
}
