package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends an entry malformed or incomplete requests. Checks that none of them reaches a server. */
public final class CallerHandlerTest {
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
     * Malformed and ambiguous requests are rejected and reach no server.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void ambiguousRequestsReachNoServer() throws IOException {
        String[] heads = {
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: -1\r\n",
            "X-Long: " + "x".repeat(4000) + "\r\n",
            "Bad Header: 1\r\n"
        };
        for (String h : heads) {
            try (Socket socket = fixture.caller().connect()) {
                String start = "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\n";
                TestCaller.write(socket, start + "X-Credential: key-1\r\n" + h + "\r\nhello");
                int status = TestCaller.read(socket).status();
                assertTrue(status == 400 || status == 431, h + " gave " + status);
            }
        }
        assertNothingArrived();
    }

    /**
     * An incomplete header section is rejected after the header timeout and reaches no server.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void slowHeadersAreRejected() throws IOException {
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, "POST /pay/x HTTP/1.1\r\nHost: shop");
            assertEquals(TestCaller.read(socket).status(), 408);
        }
        assertNothingArrived();
    }

    private void assertNothingArrived() {
        assertTrue(fixture.first().seen().isEmpty() && fixture.second().seen().isEmpty());
    }
}
