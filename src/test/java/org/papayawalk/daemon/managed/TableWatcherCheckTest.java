package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.MonotonicClock;
import org.papayawalk.core.id.StoreEra;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.core.upstream.TableReplica;
import org.papayawalk.core.upstream.TableVersion;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.http.AsyncHttpClient;
import org.papayawalk.support.Await;
import org.papayawalk.wire.EventLoops;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A watcher that only checks the store, while another daemon should deliver the rows. */
public final class TableWatcherCheckTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    // No daemon polls it: one of an earlier test may still call the port of its store.
    private static final String TABLE = "checked";

    private static final Duration MAX_STALENESS = Duration.ofSeconds(6);

    private static final Duration MAX_DELAY = Duration.ofSeconds(4);

    // Half of MAX_DELAY.
    private static final int CHECK_INTERVAL_MILLIS = 2000;

    // Time for one call, less than half of the interval.
    private static final int CALL_MILLIS = 800;

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

    /** Changes that nobody delivers are read within the bound, and checks are no more than due. */
    @Test
    public void checksFindWhatIsNotDelivered() {
        for (int i = 0; i < 2; i++) {
            int expected = rows() + 1;
            int before = polls();
            store.put(TABLE, "b" + i, "2");
            Await.within(MAX_DELAY.toMillis(), () -> rows() == expected);
            assertEquals(polls(), before + 1);
        }
    }

    /** A check becomes a poll at once when nobody delivers the rows any more. */
    @Test
    public void followsTheStoreAtOnce() {
        store.put(TABLE, "b", "2");
        followsStore = true;
        thread.execute(watcher::reconsider);
        Await.within(CALL_MILLIS, () -> rows() == 2);
        Await.within(TIMEOUT_MILLIS, () -> polls() >= 4);
    }

    /** While rows are delivered the time of the next check stays. */
    @Test
    public void followerIsNotDisturbed() throws InterruptedException {
        thread.execute(watcher::reconsider);
        thread.execute(() -> watcher.recordEra(StoreEra.INITIAL));
        Thread.sleep(CALL_MILLIS);
        assertEquals(polls(), 1);
    }

    /**
     * A proof that nothing is missing puts the next check off, by no more than its own age allows.
     */
    @Test
    public void proofPutsOffTheNextCheck() throws InterruptedException {
        Thread.sleep(CALL_MILLIS);
        thread.execute(() -> replica.recordComplete(replica.version(), CLOCK.instant()));
        Thread.sleep(CHECK_INTERVAL_MILLIS - 100);
        assertEquals(polls(), 1);
        Await.within(CALL_MILLIS + 100, () -> polls() == 2);
    }

    /** A proof for a version that the watcher lacks puts off nothing. */
    @Test
    public void proofOfAnUnknownVersionIsIgnored() throws InterruptedException {
        Thread.sleep(CALL_MILLIS);
        TableVersion newer = new TableVersion(StoreEra.INITIAL, version().number() + 1);
        thread.execute(() -> replica.recordComplete(newer, CLOCK.instant()));
        Await.within(CHECK_INTERVAL_MILLIS, () -> polls() == 2);
    }

    /** A change arrives in time after several checks in a row were lost. */
    @Test
    public void lostChecksDoNotHoldBackLaterChanges() {
        store.setSilent(true);
        Await.within(TIMEOUT_MILLIS, () -> store.unansweredCalls() >= 2);
        store.setSilent(false);
        store.put(TABLE, "b", "2");
        Await.within(MAX_STALENESS.toMillis(), () -> rows() == 2);
    }

    /** A later era that another call states is read at once. */
    @Test
    public void laterEraIsReadAtOnce() {
        store.copy();
        store.restore();
        store.put(TABLE, "b", "2");
        Await.within(CALL_MILLIS, this::isReadAfterEra);
        assertTrue(version().era().equals(new StoreEra(1)));
    }

    // The watcher may still handle the answer to the first check.
    private boolean isReadAfterEra() {
        thread.execute(() -> watcher.recordEra(new StoreEra(1)));
        return rows() == 2;
    }

    private int polls() {
        return store.polls().polls(TABLE);
    }

    private TableVersion version() {
        CompletableFuture<TableVersion> version = new CompletableFuture<>();
        thread.execute(() -> version.complete(replica.version()));
        return version.join();
    }

    private int rows() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        thread.execute(() -> size.complete(replica.liveRows().size()));
        return size.join();
    }
}
