package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableUpdate;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.http.HttpClient;
import org.papayawalk.support.Await;
import org.papayawalk.wire.WireRuntime;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Follows a table whose store drops its history while its reads are behind. */
public final class TableWatcherTest {
    /** Longest wait for something that must happen, in milliseconds. */
    private static final long LIMIT_MILLIS = 10_000;

    /** Table that is followed. */
    private static final String TABLE = "servers";

    /** Readings that are counted. */
    private static final int READINGS = 6;

    /** Least time that so many readings of a stale table take, in milliseconds. */
    private static final long LEAST_MILLIS = 700;

    /** Control thread. */
    private final ControlThread thread = new ControlThread("feed-test");

    /** Event loop. */
    private final WireRuntime runtime = new WireRuntime(1);

    /** Copy of the table; confined to the control thread. */
    private final TableReplica copy = new TableReplica();

    /** Store. */
    private FakeStore store;

    /**
     * Starts a store.
     *
     * @throws IOException if no port can be had
     */
    @BeforeMethod
    public void start() throws IOException {
        store = new FakeStore();
        store.put(TABLE, "a", "1");
        TableWatcher.Receiver receiver =
                new TableWatcher.Receiver() {
                    @Override
                    public long version() {
                        return copy.version();
                    }

                    @Override
                    public void apply(TableUpdate batch, long after) {
                        copy.apply(batch, after);
                    }

                    @Override
                    public void storeFailed() {
                        // The store is never away here.
                    }
                };
        HttpClient http = new HttpClient(runtime.group());
        TableWatcher feed = new TableWatcher(http, store.address(), TABLE, thread, receiver);
        thread.run(feed::start);
        Await.within(LIMIT_MILLIS, () -> rows() == 1);
    }

    /** Stops the store and the feed. */
    @AfterMethod
    public void stop() {
        thread.close();
        store.close();
    }

    /**
     * While the store has dropped its history and its reads are behind, the table is read with
     * pauses, and what was known stays. Once reads are fresh again, the change is learnt.
     */
    @Test
    public void staleTableIsReadWithPauses() {
        store.setStaleReads(true);
        store.put(TABLE, "b", "2");
        Await.within(LIMIT_MILLIS, () -> rows() == 2);
        int before = store.fullReads();
        long begun = System.nanoTime();
        store.putAndDropHistory(TABLE, "c", "3");
        Await.within(LIMIT_MILLIS, () -> store.fullReads() >= before + READINGS);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(millis >= LEAST_MILLIS, READINGS + " readings within " + millis + " ms");
        assertEquals(rows(), 2);
        store.setStaleReads(false);
        Await.within(LIMIT_MILLIS, () -> rows() == 3);
    }

    /**
     * Returns the rows known.
     *
     * @return number of rows
     */
    private int rows() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        thread.run(() -> size.complete(copy.existing().size()));
        return size.join();
    }
}
