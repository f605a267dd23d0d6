package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against bytes of no answer behind the answer to a HEAD request for a stream. */
public final class StreamHeadRequestTest {
    private static final String HEAD_END = "\r\n\r\n";

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * The answer ends with its head.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void answerToHeadHasNoBody() throws IOException {
        Script head =
                (socket, id, headers) -> {
                    String text =
                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                    + headers
                                    + "Transfer-Encoding: chunked"
                                    + HEAD_END;
                    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                    socket.shutdownOutput();
                };
        AtomicInteger left = new AtomicInteger(1);
        fixture.first().script(head, left, Mode.WHOLE);
        fixture.second().script(head, left, Mode.WHOLE);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, fixture.caller().request("HEAD", "/advice/x", "key-1"));
            byte[] received = socket.getInputStream().readAllBytes();
            String text = new String(received, StandardCharsets.UTF_8);
            assertTrue(text.startsWith("HTTP/1.1 200 "), text);
            assertEquals(text.substring(text.indexOf(HEAD_END) + HEAD_END.length()), "");
        }
    }
}
