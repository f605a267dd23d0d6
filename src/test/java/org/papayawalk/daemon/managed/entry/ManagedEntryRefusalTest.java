package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.papayawalk.core.place.LoadSheddingRule;
import org.papayawalk.daemon.managed.entry.TestCaller.Answer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Takes an entry all servers and looks at what its callers are told. */
public final class ManagedEntryRefusalTest {
    /** Header that tells when to come back. */
    private static final String RETRY_AFTER = "retry-after: ";

    /** Stand-ins and entry. */
    private ManagedEntryFixture fixture;

    /**
     * Starts the site and takes its servers away.
     *
     * @throws IOException if a port cannot be had
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        fixture.store().remove("servers", "i-1");
        fixture.store().remove("servers", "i-2");
        ManagedEntryFixture.await(() -> send().status() == 503);
    }

    /**
     * Stops the stand-ins.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /**
     * While no server can answer, callers come back when the first is expected, not when one that
     * is full may have room.
     */
    @Test
    public void retryAfterCoversExpectedRestart() {
        Answer answer = send();
        assertEquals(answer.status(), 503);
        int begin = answer.head().toLowerCase().indexOf(RETRY_AFTER) + RETRY_AFTER.length();
        int end = (answer.head() + "\r\n").indexOf("\r\n", begin);
        double seconds = Double.parseDouble(answer.head().substring(begin, end));
        LoadSheddingRule rule = LoadSheddingRule.DEFAULT;
        long full = rule.minRetryAfter().plus(rule.retryJitter()).toMillis();
        assertTrue(seconds * 1000 > full, "told to come back after " + seconds + " s");
    }

    /**
     * Sends a request.
     *
     * @return answer
     */
    private Answer send() {
        return fixture.caller().send("GET", "/read/x", "key-1");
    }
}
