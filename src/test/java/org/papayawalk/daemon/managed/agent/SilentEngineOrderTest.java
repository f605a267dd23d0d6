package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An engine answers no copy of a load order until the order is repeated no more. It may accept a
 * copy after that, so a chunk that turns bad meanwhile has to be staged again.
 */
public final class SilentEngineOrderTest {
    private static final long TIMEOUT_MILLIS = 30_000;

    /** Longer than the time between two copies of an order. */
    private static final long PAUSE_MILLIS = 4_000;

    /**
     * The staged version is kept whole while the order is open.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void chunkThatTurnedBadAfterTheLastCopyIsNotLoaded() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            engine.holdOrders();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> engine.heldOrders() == 1);
            awaitLastCopy(engine);
            int staged = engine.stagedWrites();
            engine.corruptStaged(0);
            long until = after(PAUSE_MILLIS);
            Await.within(
                    TIMEOUT_MILLIS,
                    () -> engine.stagedWrites() > staged || System.nanoTime() > until);
            engine.releaseOrders();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 2);
            assertEquals(engine.corruptLoads(), 0);
        }
    }

    private static void awaitLastCopy(FakeEngine engine) {
        int copies;
        do {
            copies = engine.heldOrders();
            int before = copies;
            long until = after(PAUSE_MILLIS);
            Await.within(
                    TIMEOUT_MILLIS,
                    () -> engine.heldOrders() > before || System.nanoTime() > until);
        } while (engine.heldOrders() > copies);
    }

    private static long after(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
