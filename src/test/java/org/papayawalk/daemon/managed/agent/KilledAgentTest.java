package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An agent is killed while the engine holds its load order, and started again. The new process
 * knows nothing of the order, which the engine may still accept.
 */
public final class KilledAgentTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Time in which chunks that are being fetched could be staged. */
    private static final long OBSERVATION_MILLIS = 1000;

    /**
     * The new process does not stage a newer version under the order.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void orderOfKilledAgentLoadsItsOwnVersion() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            engine.holdNextOrder();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> engine.heldOrders() == 1);
            fixture.killAgent();
            int staged = engine.stagedWrites();
            int fetched = engine.chunksSent();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.chunksSent() > fetched);
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLIS);
            Await.within(
                    TIMEOUT_MILLIS,
                    () -> engine.stagedWrites() > staged || System.nanoTime() > until);
            engine.releaseOrders();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 3);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
