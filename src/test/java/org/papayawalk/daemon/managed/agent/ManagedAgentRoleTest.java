package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.support.Await;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Runs an agent against a fake engine, origin and store on loopback. Verifies that the engine is
 * never ordered to load weights that are incomplete, corrupt or of another version.
 */
public final class ManagedAgentRoleTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    // Time for which the test watches for an event that must not happen.
    private static final long OBSERVATION_MILLIS = 400;

    private ManagedAgentFixture fixture;

    private FakeStore store;

    // Serves as engine and as origin.
    private FakeEngine engine;

    /**
     * Starts the fakes and the agent. No entry runs, so the agent watches the store itself.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedAgentFixture();
        store = fixture.store();
        engine = fixture.engine();
        fixture.startAgent();
    }

    /** Stops the fakes. */
    @AfterClass
    public void stop() {
        fixture.close();
    }

    /** An engine without weights gets the first version, each chunk from the origin once. */
    @Test
    public void emptyEngineIsFilled() {
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
        assertEquals(engine.corruptLoads(), 0);
        assertEquals(engine.chunksSent(), FakeEngine.CHUNKS);
    }

    /**
     * Corrupt chunks from the origin are not staged, and chunks that become corrupt while staged
     * are staged again before the load.
     */
    @Test(dependsOnMethods = "emptyEngineIsFilled")
    public void corruptChunksAreNeverLoaded() {
        engine.corrupt(3, 2);
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 2);
        assertEquals(engine.corruptLoads(), 0);
    }

    /** An engine that lost its weights gets them again, without a further read from the origin. */
    @Test(dependsOnMethods = "corruptChunksAreNeverLoaded")
    public void restartedEngineIsFilledAgain() {
        int before = engine.chunksSent();
        engine.restart();
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 2);
        assertEquals(engine.corruptLoads(), 0);
        assertEquals(engine.chunksSent(), before);
    }

    /** Of versions requested in quick succession the engine serves the newest in the end. */
    @Test(dependsOnMethods = "restartedEngineIsFilledAgain")
    public void newestOfSeveralVersionsIsServed() {
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":5}");
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 5);
        assertEquals(engine.corruptLoads(), 0);
    }

    /**
     * While the engine handles an order, no chunk of a newer version overwrites what it is about to
     * load.
     */
    @Test(dependsOnMethods = "newestOfSeveralVersionsIsServed")
    public void newerVersionIsNotStagedOverAnOrder() {
        engine.holdOrders();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":6}");
        Await.within(TIMEOUT_MILLIS, () -> engine.heldOrders() == 1);
        int before = engine.stagedWrites();
        int sent = engine.chunksSent();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":7}");
        Await.within(TIMEOUT_MILLIS, () -> engine.chunksSent() > sent);
        waitBriefly(() -> engine.stagedWrites() > before);
        engine.releaseOrders();
        Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 7);
        assertEquals(engine.corruptLoads(), 0);
    }

    // Returns when the condition holds, or after OBSERVATION_MILLIS if it does not.
    private static void waitBriefly(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }
}
