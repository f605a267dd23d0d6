package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.Await;
import org.papayawalk.wire.EventLoops;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Watches a table whose store drops its history while its full reads are stale. Without a pause the
 * watcher would repeat full reads in a tight loop.
 */
public final class TableWatcherTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String TABLE = "servers";

    private static final int COUNTED_READS = 6;

    // Least time that COUNTED_READS full reads of a stale table take.
    private static final long MIN_MILLIS = 700;

    private final ControlThread thread = new ControlThread("watcher-test");

    private final EventLoops runtime = new EventLoops(1);

    // Confined to the control thread.
    private final TableReplica replica = new TableReplica();

    private FakeStore store;

    /**
     * Starts a store and a watcher that has read one row.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        store = new FakeStore();
        store.put(TABLE, "a", "1");
        TableWatcher.Receiver receiver =
                new TableWatcher.Receiver() {
                    @Override
                    public TableVersion version() {
                        return replica.version();
                    }

                    @Override
                    public void apply(TableUpdate update, long after) {
                        replica.apply(update, after);
                    }

                    @Override
                    public void eraSeen(StoreEra era) {
                        // The replica takes the era from what is read.
                    }

                    @Override
                    public void storeFailed() {
                        // The store never fails in this test.
                    }
                };
        AsyncHttpClient http = new AsyncHttpClient(runtime.group());
        MonotonicClock clock = new MonotonicClock();
        TableWatcher watcher =
                new TableWatcher(http, store.address(), TABLE, thread, receiver, clock);
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
     * While the history is dropped and full reads are stale, the table is read with pauses and the
     * known rows stay. Once reads are current again, the change arrives.
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

    private int rows() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        thread.execute(() -> size.complete(replica.liveRows().size()));
        return size.join();
    }
}
