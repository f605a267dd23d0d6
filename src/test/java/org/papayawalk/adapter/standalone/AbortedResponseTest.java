package org.papayawalk.adapter.standalone;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** A handler of {@link BlockingHttpServer} fails while it streams its response. */
public final class AbortedResponseTest {
    private static final String EVENT = "data: leaf\n\n";

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private BlockingHttpServer server;

    /** Whether the handler fails behind its first event. */
    private volatile boolean fails;

    /**
     * Starts the server.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        server =
                new BlockingHttpServer(
                        new InetSocketAddress(loopback, 0),
                        (request, response, context) ->
                                response.setEntity(
                                        new EntityTemplate(
                                                -1,
                                                ContentType.TEXT_EVENT_STREAM,
                                                null,
                                                out -> {
                                                    out.write(bytes(EVENT));
                                                    out.flush();
                                                    if (fails) {
                                                        throw new IOException("broken off");
                                                    }
                                                })));
    }

    /** Stops the server. */
    @AfterClass
    public void stop() {
        server.close();
    }

    /**
     * A stream that its handler breaks off has no last chunk; a whole one has.
     *
     * @throws IOException if the server does not listen
     */
    @Test
    public void brokenStreamHasNoLastChunk() throws IOException {
        fails = true;
        String broken = get("HTTP/1.1");
        assertTrue(broken.contains(EVENT), broken);
        assertFalse(broken.contains(LAST_CHUNK), broken);
        fails = false;
        assertTrue(get("HTTP/1.1").endsWith(LAST_CHUNK));
    }

    /**
     * A caller that speaks HTTP/1.0 gets a whole stream without chunks.
     *
     * @throws IOException if the server does not listen
     */
    @Test
    public void http10CallerGetsNoChunks() throws IOException {
        fails = false;
        String response = get("HTTP/1.0");
        assertEquals(response.substring(response.indexOf("\r\n\r\n") + 4), EVENT);
    }

    private String get(String version) throws IOException {
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            String request = "GET / " + version + "\r\nHost: a\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(bytes(request));
            byte[] buffer = new byte[4096];
            for (int n = 0; n >= 0; n = socket.getInputStream().read(buffer)) {
                text.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
            }
        } catch (SocketException e) {
            assertEquals(e.getMessage(), "Connection reset");
        }
        return text.toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
