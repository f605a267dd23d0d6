package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Many long request bodies at once. Checks memory, and what their callers and others get. */
public final class LongBodiesTest {
    private static final int LONG_BYTES = 4_000_000;

    private static final int PART_BYTES = 40_000;

    private static final int CALLERS = 30;

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private ManagedEntryFixture fixture;

    /**
     * Starts an entry that allows long bodies.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        String desired = ManagedEntryFixture.desired(2, "key-1");
        fixture.store().put("op", "config", desired.replace(":4096", ":4194304"));
        ManagedEntryFixture.await(() -> isReceived(LONG_BYTES / 100));
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
        threads.shutdownNow();
    }

    /** All are served, within the bound, while short requests are served at once. */
    @Test
    public void longBodiesTakeTurns() {
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String id = "long-" + i;
            TestCaller caller = fixture.caller().another();
            statuses.add(CompletableFuture.supplyAsync(() -> send(caller, id), threads));
        }
        long peak = 0;
        TestCaller other = fixture.caller().another();
        while (!statuses.stream().allMatch(CompletableFuture::isDone)) {
            assertEquals(other.send("POST", "/pay/x", "key-1").status(), 200);
            peak = Math.max(peak, fixture.role().heldBodyBytes());
        }
        statuses.forEach(s -> assertEquals(s.join().intValue(), 200));
        assertTrue(peak >= LONG_BYTES && peak <= EntryMemory.MAX_BODY_BYTES, "held " + peak);
        assertEquals(fixture.role().heldBodyBytes(), 0);
    }

    /**
     * Callers that stop in the middle of long bodies hold all the room: others are refused truly,
     * with a time to come back, and served once these have left.
     *
     * @throws IOException if a connection is lost
     */
    @Test(dependsOnMethods = "longBodiesTakeTurns")
    public void stalledBodiesStopNoShortRequest() throws IOException {
        List<LongBodyCaller> stalled = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            stalled.add(new LongBodyCaller(fixture.caller(), "stalled-" + i, LONG_BYTES));
            stalled.get(i).send(PART_BYTES);
        }
        ManagedEntryFixture.await(() -> fixture.role().heldBodyBytes() >= 3L * LONG_BYTES);
        fixture.first().seen().clear();
        fixture.second().seen().clear();
        try (LongBodyCaller refused = new LongBodyCaller(fixture.caller(), "late", LONG_BYTES)) {
            TestCaller.Response response = refused.read();
            assertEquals(response.status(), 503);
            String head = response.head().toLowerCase();
            assertTrue(
                    head.contains("retry-after: 1") && head.contains("x-request-id: late"), head);
            refused.send(PART_BYTES);
        }
        assertTrue(fixture.first().seen().isEmpty() && fixture.second().seen().isEmpty());
        assertEquals(fixture.caller().send("POST", "/pay/x", "key-1").status(), 200);
        for (LongBodyCaller s : stalled) {
            s.close();
        }
        ManagedEntryFixture.await(() -> fixture.role().heldBodyBytes() == 0);
        assertEquals(send(fixture.caller(), "again"), 200);
    }

    private boolean isReceived(int bytes) {
        try (LongBodyCaller caller = new LongBodyCaller(fixture.caller(), "probe", bytes)) {
            caller.send(bytes);
            return caller.read().status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private static int send(TestCaller caller, String id) {
        try (LongBodyCaller sender = new LongBodyCaller(caller, id, LONG_BYTES)) {
            for (int sent = 0; sent < LONG_BYTES; sent += PART_BYTES) {
                sender.send(PART_BYTES);
            }
            return sender.read().status();
        } catch (IOException e) {
            throw new AssertionError(id, e);
        }
    }
}
