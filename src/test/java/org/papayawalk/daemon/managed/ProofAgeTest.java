package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.Await;
import org.papayawalk.wire.EventLoops;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against wrong requests that are not denied in calm, because the store holds the call after
 * a change for too long.
 */
public final class ProofAgeTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    // No daemon polls it: one of an earlier test may still call the port of its store.
    private static final String TABLE = "checked";

    private static final Duration MAX_STALENESS = Duration.ofSeconds(4);

    private static final Duration MAX_DELAY = Duration.ofSeconds(3);

    // Part of the hold of a call after which it is answered by a change.
    private static final long HELD_MILLIS = 1500;

    // Longest hold of the platform's store.
    private static final long STORE_HOLD_MILLIS = 30_000;

    private static final int SAMPLES = 250;

    private static final long SAMPLE_MILLIS = 10;

    private static final InstantSource CLOCK = new MonotonicClock();

    private final EventLoops runtime = new EventLoops(1);

    private ControlThread thread;

    // Confined to the control thread.
    private TableReplica replica;

    private FakeStore store;

    private TableWatcher watcher;

    /**
     * Starts a store and a watcher that has read one row and follows the store.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        thread = new ControlThread("watcher-check-test");
        replica = new TableReplica();
        store = new FakeStore();
        store.setMaxWait(STORE_HOLD_MILLIS);
        store.put(TABLE, "a", "1");
        watcher =
                new TableWatcher(
                        new AsyncHttpClient(runtime.group()),
                        store.address(),
                        TABLE,
                        thread,
                        new ReplicaReceiver(replica),
                        new PollSchedule(MAX_STALENESS, MAX_DELAY),
                        () -> true,
                        CLOCK);
        thread.execute(watcher::start);
        Await.within(TIMEOUT_MILLIS, () -> ageMillis() < TIMEOUT_MILLIS);
    }

    /** Stops the store and the watcher. */
    @AfterMethod
    public void stop() {
        thread.close();
        store.close();
    }

    /** After a change, the proof that nothing is missing stays younger than a change may take. */
    @Test
    public void proofStaysYoungAfterChange() throws InterruptedException {
        Await.within(TIMEOUT_MILLIS, () -> ageMillis() < 100);
        Thread.sleep(HELD_MILLIS);
        store.put(TABLE, "b", "2");
        long oldest = 0;
        for (int i = 0; i < SAMPLES; i++) {
            oldest = Math.max(oldest, ageMillis());
            Thread.sleep(SAMPLE_MILLIS);
        }
        assertTrue(oldest <= MAX_DELAY.toMillis(), "oldest proof: " + oldest + " ms");
    }

    private long ageMillis() {
        CompletableFuture<Instant> proven = new CompletableFuture<>();
        thread.execute(() -> proven.complete(replica.completeUntil()));
        Instant until = proven.join();
        return until.equals(Instant.MIN)
                ? Long.MAX_VALUE
                : Duration.between(until, CLOCK.instant()).toMillis();
    }
}
