package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against proper requests that are denied, for good, by an entry that a change of the
 * desired state has not reached.
 */
public final class LateDesiredStateTest {
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
     * Returns requests that only the newer desired state allows.
     *
     * @return rows of the path of a request and its key
     */
    @DataProvider
    public Object[][] addedParts() {
        return new Object[][] {{"/added/x", "key-1"}, {"/pay/x", "key-2"}};
    }

    /**
     * A request that only a newer desired state allows is refused with a time to return, and served
     * once that state is in force.
     *
     * @param path path of the request
     * @param key its key
     */
    @Test(dataProvider = "addedParts")
    public void requestIsNotDeniedByLateState(String path, String key) {
        loseStoreBeforeChange();
        TestCaller.Response refusal = fixture.caller().send("POST", path, key);
        assertEquals(refusal.status(), 503);
        assertTrue(refusal.head().toLowerCase().contains("retry-after: "), refusal.head());
        fixture.store().setSilent(false);
        ManagedEntryFixture.await(() -> fixture.caller().send("POST", path, key).status() == 200);
    }

    /** What the state in force allows is served meanwhile. */
    @Test
    public void knownRequestIsServedByLateState() {
        loseStoreBeforeChange();
        assertEquals(fixture.caller().send("POST", "/pay/x", "key-1").status(), 200);
    }

    /** A wrong request is denied again once the state is proven to lack nothing. */
    @Test
    public void wrongRequestIsDeniedByProvenState() {
        loseStoreBeforeChange();
        fixture.store().setSilent(false);
        ManagedEntryFixture.await(
                () -> fixture.caller().send("POST", "/pay/x", "key-9").status() == 401);
        assertEquals(fixture.caller().send("POST", "/other/x", "key-1").status(), 404);
    }

    private void loseStoreBeforeChange() {
        fixture.store().setSilent(true);
        LockSupport.parkNanos(LATE.toNanos());
        String newer =
                ManagedEntryFixture.desired(2, "key-1")
                        .replace("\"key-1\"]", "\"key-1\",\"key-2\"]")
                        .replace(
                                "\"routes\":[",
                                "\"routes\":[{\"name\":\"added\",\"host\":\"shop.example\","
                                        + "\"prefix\":\"/added/\",\"kind\":\"non_idempotent\","
                                        + "\"timeoutMs\":1500,\"service\":\"desk\"},");
        fixture.store().put("op", "config", newer);
    }
}
