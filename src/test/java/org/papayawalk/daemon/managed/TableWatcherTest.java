package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
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

/** Watches a table whose store drops its history, serves stale reads or leaves calls unanswered. */
public final class TableWatcherTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String TABLE = "servers";

    private static final int COUNTED_READS = 6;

    private static final int CHANGES = 60;

    private static final long CHANGE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    // One in 0.3 s of 3 s, and some for the beginning of the wave.
    private static final int MAX_POLLS = 16;

    // Least time that COUNTED_READS full reads of a stale table take.
    private static final long MIN_MILLIS = 700;

    // Longest time from the end of trouble of the store until a daemon has its changes.
    private static final Duration MAX_STALENESS = Duration.ofSeconds(3);

    private final EventLoops runtime = new EventLoops(1);

    private ControlThread thread;

    // Confined to the control thread.
    private TableReplica replica;

    private FakeStore store;

    /**
     * Starts a store and a watcher that has read one row.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        thread = new ControlThread("watcher-test");
        replica = new TableReplica();
        store = new FakeStore();
        store.put(TABLE, "a", "1");
        AsyncHttpClient http = new AsyncHttpClient(runtime.group());
        TableWatcher watcher =
                new TableWatcher(
                        http,
                        store.address(),
                        TABLE,
                        thread,
                        new ReplicaReceiver(replica),
                        new PollSchedule(MAX_STALENESS),
                        () -> true,
                        new MonotonicClock());
        thread.execute(watcher::start);
        Await.within(TIMEOUT_MILLIS, () -> rows() == 1);
    }

    /** Stops the store and the watcher. */
    @AfterMethod
    public void stop() {
        thread.close();
        store.close();
    }

    /**
     * While the history is dropped and full reads are stale, the table is read with pauses, not in
     * a tight loop, and the known rows stay. Once reads are current again, the change arrives.
     */
    @Test
    public void staleTableIsReadWithPauses() {
        store.setStaleReads(true);
        store.put(TABLE, "b", "2");
        Await.within(TIMEOUT_MILLIS, () -> rows() == 2);
        int before = store.fullReads();
        long begun = System.nanoTime();
        store.putAndDropHistory(TABLE, "c", "3");
        Await.within(TIMEOUT_MILLIS, () -> store.fullReads() >= before + COUNTED_READS);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(millis >= MIN_MILLIS, COUNTED_READS + " full reads within " + millis + " ms");
        assertEquals(rows(), 2);
        store.setStaleReads(false);
        Await.within(TIMEOUT_MILLIS, () -> rows() == 3);
    }

    /** Changes in a row are read together, and the last one within the bound. */
    @Test
    public void changesInARowAreReadTogether() {
        int before = store.polls().polls(TABLE);
        for (int i = 0; i < CHANGES; i++) {
            store.put(TABLE, "row-" + i, "1");
            LockSupport.parkNanos(CHANGE_INTERVAL_NANOS);
        }
        Await.within(MAX_STALENESS.toMillis() / 5, () -> rows() == CHANGES + 1);
        int polls = store.polls().polls(TABLE) - before;
        assertTrue(polls <= MAX_POLLS, polls + " polls for " + CHANGES + " changes");
    }

    /** A change arrives in time although the call that was pending when it was made is lost. */
    @Test
    public void lostLongPollDoesNotHoldBackLaterChanges() {
        checkChangeAfterLostCalls(1);
    }

    /** A change arrives in time although the store lost several calls in a row. */
    @Test
    public void callLostAtTheEndOfAnOutageDoesNotHoldBackLaterChanges() {
        checkChangeAfterLostCalls(2);
    }

    // Silences the store until it has lost a number of calls, then makes a change.
    private void checkChangeAfterLostCalls(int calls) {
        store.setSilent(true);
        Await.within(TIMEOUT_MILLIS, () -> store.unansweredCalls() >= calls);
        store.setSilent(false);
        store.put(TABLE, "b", "2");
        Await.within(MAX_STALENESS.toMillis(), () -> rows() == 2);
    }

    private int rows() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        thread.execute(() -> size.complete(replica.liveRows().size()));
        return size.join();
    }
}
