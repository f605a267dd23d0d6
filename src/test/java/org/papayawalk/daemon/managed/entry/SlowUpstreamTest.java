package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An upstream is at work, but sends nothing for longer than a repeat would wait. */
public final class SlowUpstreamTest {
    /** Longer than an entry waits for data before it sends a request elsewhere. */
    private static final int LONGER_THAN_STALL_TIMEOUT_MILLIS = 1500;

    /**
     * Provides requests that may be repeated.
     *
     * @return targets
     */
    @DataProvider
    public Object[][] repeatable() {
        return new Object[][] {{"/read/x"}, {"/advice/x"}};
    }

    /**
     * No other upstream can take the request, so giving it up would gain nothing.
     *
     * @param target target of the request
     * @throws IOException if a port cannot be bound
     */
    @Test(dataProvider = "repeatable")
    public void runningRequestIsNotGivenUpWithoutAnotherUpstream(String target) throws IOException {
        try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
            String leaving = ManagedEntryFixture.entry(entry.second(), "draining");
            entry.store().put("servers", "i-2", leaving);
            ManagedEntryFixture.await(() -> !entry.knowsUsable("i-2"));
            entry.first().mode(Mode.HELD);
            CompletableFuture<TestCaller.Response> running =
                    CompletableFuture.supplyAsync(
                            () -> entry.caller().send("GET", target, "key-1"));
            ManagedEntryFixture.await(() -> entry.first().seen().size() == 1);

            assertEquals(sendAndWait(entry, target), 504);
            entry.first().release();
            assertEquals(running.join().status(), 200);
            assertEquals(entry.first().seen().size(), 2);
        }
    }

    // The end of this request shows that the stall timeout of the one before has passed.
    private static int sendAndWait(ManagedEntryFixture entry, String target) throws IOException {
        try (Socket socket = entry.caller().connect()) {
            String header = "\r\nX-Deadline-Ms: " + LONGER_THAN_STALL_TIMEOUT_MILLIS;
            String request = entry.caller().request("GET", target, "key-1");
            TestCaller.write(socket, request.replace("\r\nConnection", header + "\r\nConnection"));
            return TestCaller.read(socket).status();
        }
    }
}
