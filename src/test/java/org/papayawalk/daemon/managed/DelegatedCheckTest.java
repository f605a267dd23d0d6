package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.time.Duration;
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
 * Guards against large changes that are late because they are left to a daemon that is gone or cut
 * off.
 */
public final class DelegatedCheckTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    // No daemon polls it: one of an earlier test may still call the port of its store.
    private static final String TABLE = "checked";

    private static final Duration MAX_STALENESS = Duration.ofSeconds(6);

    private static final Duration MAX_DELAY = Duration.ofSeconds(4);

    // Shorter than any wait for another daemon.
    private static final long READ_MILLIS = 400;

    private static final String LARGE = "x".repeat(40_000);

    private static final InstantSource CLOCK = new MonotonicClock();

    private final EventLoops runtime = new EventLoops(1);

    private ControlThread thread;

    // Confined to the control thread.
    private TableReplica replica;

    private FakeStore store;

    private TableWatcher watcher;

    private volatile boolean followsStore;

    /**
     * Starts a store and a watcher that has read one row and only checks from then on.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        thread = new ControlThread("watcher-check-test");
        replica = new TableReplica();
        store = new FakeStore();
        store.put(TABLE, "a", "1");
        followsStore = false;
        watcher =
                new TableWatcher(
                        new AsyncHttpClient(runtime.group()),
                        store.address(),
                        TABLE,
                        thread,
                        new ReplicaReceiver(replica),
                        new PollSchedule(MAX_STALENESS, MAX_DELAY),
                        () -> followsStore,
                        CLOCK);
        thread.execute(watcher::start);
        Await.within(TIMEOUT_MILLIS, () -> rows() == 1 && polls() == 1);
    }

    /** Stops the store and the watcher. */
    @AfterMethod
    public void stop() {
        thread.close();
        store.close();
    }

    /** Changes left to another daemon are read at once when that daemon is gone. */
    @Test
    public void delegatedChangesAreReadAtOnceWithoutSource() {
        store.put(TABLE, "b", LARGE);
        Await.within(TIMEOUT_MILLIS, () -> polls() == 2);
        followsStore = true;
        Await.within(READ_MILLIS, this::isReadWithoutSource);
    }

    /** A daemon that delivered nothing is left nothing again before it has proven something. */
    @Test
    public void nothingIsLeftToSourceThatDeliversNothing() {
        store.put(TABLE, "b", LARGE);
        Await.within(TIMEOUT_MILLIS, () -> rows() == 2);
        int before = polls();
        store.put(TABLE, "c", LARGE);
        Await.within(TIMEOUT_MILLIS, () -> rows() == 3);
        assertEquals(polls(), before + 1);
    }

    // The watcher may still handle the answer to its check.
    private boolean isReadWithoutSource() {
        thread.execute(watcher::reconsider);
        return rows() == 2;
    }

    private int polls() {
        return store.polls().polls(TABLE);
    }

    private int rows() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        thread.execute(() -> size.complete(replica.liveRows().size()));
        return size.join();
    }
}
