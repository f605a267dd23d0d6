package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.daemon.managed.entry.TestCaller.Response;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Removes all servers of an entry and checks the Retry-After delay of its refusals. */
public final class ManagedEntryRefusalTest {
    private static final String RETRY_AFTER = "retry-after: ";

    private ManagedEntryFixture fixture;

    /**
     * Starts the entry and removes its servers.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        fixture.store().remove("servers", "i-1");
        fixture.store().remove("servers", "i-2");
        ManagedEntryFixture.await(() -> send().status() == 503);
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
     * While no server can serve requests, the Retry-After delay reaches to the expected restart of
     * the first server. A delay as for servers at capacity would be too short.
     */
    @Test
    public void retryAfterCoversExpectedRestart() {
        Response response = send();
        assertEquals(response.status(), 503);
        int begin = response.head().toLowerCase().indexOf(RETRY_AFTER) + RETRY_AFTER.length();
        int end = (response.head() + "\r\n").indexOf("\r\n", begin);
        double seconds = Double.parseDouble(response.head().substring(begin, end));
        LoadSheddingRule rule = LoadSheddingRule.DEFAULT;
        long capacityRetryMillis = rule.minRetryAfter().plus(rule.retryJitter()).toMillis();
        assertTrue(
                seconds * 1000 > capacityRetryMillis,
                "Retry-After is "
                        + seconds
                        + " s, expected more than "
                        + capacityRetryMillis
                        + " ms");
    }

    private Response send() {
        return fixture.caller().send("GET", "/read/x", "key-1");
    }
}
