package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The entry itself stands still, while upstreams go on. */
public final class StandstillTest {
    /** Longer than an entry waits for data before it sends a request elsewhere. */
    private static final long LONGER_THAN_STALL_TIMEOUT_MILLIS = 1300;

    /**
     * Provides requests that may be repeated, with the modes in which an upstream answers during
     * the standstill and at once.
     *
     * @return targets and modes
     */
    @DataProvider
    public Object[][] repeatable() {
        return new Object[][] {
            {"/read/x", Mode.HELD, Mode.WHOLE}, {"/advice/x", Mode.QUEUED, Mode.STREAM}
        };
    }

    /**
     * An answer that lies unread since a standstill of the entry is no silence of its upstream.
     *
     * @param target target of the request
     * @param mode mode of the upstream that serves the request
     * @param otherMode mode of the upstream that could take the request
     * @throws IOException if a port cannot be bound
     * @throws InterruptedException if the thread is interrupted
     */
    @Test(dataProvider = "repeatable")
    public void unreadAnswerIsNotTakenForSilence(String target, Mode mode, Mode otherMode)
            throws IOException, InterruptedException {
        try (ManagedEntryFixture entry = new ManagedEntryFixture()) {
            entry.first().mode(mode);
            entry.second().mode(mode);
            CompletableFuture<TestCaller.Response> running =
                    CompletableFuture.supplyAsync(
                            () -> entry.caller().send("GET", target, "key-1"));
            ManagedEntryFixture.await(() -> seenCount(entry) == 1);
            boolean atFirst = entry.first().seen().size() == 1;
            FakeUpstream serving = atFirst ? entry.first() : entry.second();
            FakeUpstream other = atFirst ? entry.second() : entry.first();
            other.mode(otherMode);
            try (HeldRead hold = entry.holdReads()) {
                serving.release();
                TimeUnit.MILLISECONDS.sleep(LONGER_THAN_STALL_TIMEOUT_MILLIS);
            }
            assertEquals(running.join().status(), 200);
            assertTrue(running.join().complete());
            assertEquals(seenCount(entry), 1);
        }
    }

    private static int seenCount(ManagedEntryFixture entry) {
        return entry.first().seen().size() + entry.second().seen().size();
    }
}
