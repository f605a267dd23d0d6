package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/**
 * An engine does not answer a load order and accepts it seconds later. It loads what is staged when
 * it accepts the order, so nothing else may be staged until the order cannot be accepted any more.
 */
public final class LateOrderTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Copies of an order that the engine holds in the end. */
    private static final int COPIES = 3;

    /**
     * A version requested while an order is open is not staged under the order.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void orderAcceptedAfterItsTimeoutLoadsItsOwnVersion() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            engine.holdNextOrder();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> engine.heldOrders() == 1);
            int staged = engine.stagedWrites();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
            Await.within(
                    TIMEOUT_MILLIS, () -> engine.serving() == 2 || engine.stagedWrites() > staged);
            engine.releaseOrders();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 3);
            assertEquals(engine.corruptLoads(), 0);
        }
    }

    /**
     * While all copies of an order are open, the newer version waits, also for seconds.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void newerVersionIsNotStagedWhileAllCopiesOfAnOrderAreOpen() throws IOException {
        try (ManagedAgentFixture fixture = new ManagedAgentFixture()) {
            FakeEngine engine = fixture.engine();
            fixture.startAgent();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            engine.holdOrders();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(TIMEOUT_MILLIS, () -> engine.heldOrders() == 1);
            int staged = engine.stagedWrites();
            fixture.store().put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
            Await.within(
                    TIMEOUT_MILLIS,
                    () -> engine.heldOrders() == COPIES || engine.stagedWrites() > staged);
            engine.releaseOrders();
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 3);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
