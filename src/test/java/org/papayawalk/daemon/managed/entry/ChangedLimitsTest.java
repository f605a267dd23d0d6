package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Limits that change while callers keep their connections. Checks that each request has the new.
 */
public final class ChangedLimitsTest {
    /** Longer than the idle timeout that is raised, with its margin. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2500);

    private ManagedEntryFixture fixture;

    private KeptCaller kept;

    private int version = 1;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        version = 1;
        fixture = new ManagedEntryFixture();
        kept = new KeptCaller(fixture.caller().port());
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        kept.close();
        fixture.close();
    }

    /**
     * A longer body is taken on a kept connection once the limit is raised, and again not.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void bodyLimitOfTheNewVersionHolds() throws IOException {
        assertEquals(status(10, 0), 200);
        adopt("4096", "65536");
        assertEquals(status(20_000, 0), 200);
        adopt("4096", "4096");
        assertEquals(status(4000, 0), 200);
        assertEquals(status(5000, 0), 413);
    }

    /**
     * A longer head is taken on a kept connection once the limit is raised, and again not.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void headLimitOfTheNewVersionHolds() throws IOException {
        assertEquals(status(10, 1000), 200);
        adopt("2048", "16384");
        assertEquals(status(10, 9000), 200);
        adopt("2048", "2048");
        assertEquals(status(10, 1000), 200);
        assertEquals(status(10, 3000), 431);
    }

    /**
     * An idle connection stays open as long as the raised limit allows.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void idleLimitOfTheNewVersionHolds() throws IOException {
        adopt("15000", "1000");
        assertEquals(status(10, 0), 200);
        adopt("15000", "15000");
        LockSupport.parkNanos(PAUSE_NANOS);
        assertEquals(kept.sendOnKept(request(10, 0)), 200);
    }

    // Puts a version into force in which one limit of the fixture's is another.
    private void adopt(String limit, String raised) {
        version++;
        String key = "key-" + version;
        String desired = ManagedEntryFixture.desired(version, "key-1\",\"" + key);
        fixture.store().put("op", "config", desired.replace(":" + limit, ":" + raised));
        ManagedEntryFixture.await(
                () -> fixture.caller().send("GET", "/read/x", key).status() == 200);
    }

    private int status(int bodyBytes, int headerBytes) throws IOException {
        return kept.sendOnKept(request(bodyBytes, headerBytes));
    }

    private static String request(int bodyBytes, int headerBytes) {
        return "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: k\r\n"
                + "X-Credential: key-1\r\nX-Long: "
                + "h".repeat(headerBytes)
                + "\r\nContent-Length: "
                + bodyBytes
                + "\r\n\r\n"
                + "b".repeat(bodyBytes);
    }
}
