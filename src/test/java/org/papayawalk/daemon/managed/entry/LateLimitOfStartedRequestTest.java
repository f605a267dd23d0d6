package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertNotEquals;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a body that is denied by the limit of a late desired state, because a newer state
 * was proven while the body arrived.
 */
public final class LateLimitOfStartedRequestTest {
    /** Longer than a change may take, and than the last proof before the store fell silent. */
    private static final Duration LATE = Duration.ofMillis(3500);

    private ManagedEntryFixture fixture;

    /**
     * Starts the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * A body within the newer limit is not denied by the older one.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void startedBodyIsNotDeniedByLateLimit() throws IOException {
        fixture.store().setSilent(true);
        LockSupport.parkNanos(LATE.toNanos());
        String raised =
                ManagedEntryFixture.desired(2, "key-1")
                        .replace("\"maxBodyBytes\":4096", "\"maxBodyBytes\":65536");
        fixture.store().put("op", "config", raised);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(
                    socket,
                    "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: k\r\n"
                            + "X-Credential: key-1\r\nConnection: close\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + chunk(1000));
            fixture.store().setSilent(false);
            ManagedEntryFixture.await(
                    () -> fixture.caller().send("POST", "/pay/x", "key-9").status() == 401);
            TestCaller.write(socket, chunk(8000) + "0\r\n\r\n");
            assertNotEquals(TestCaller.read(socket).status(), 413);
        }
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "b".repeat(bytes) + "\r\n";
    }
}
