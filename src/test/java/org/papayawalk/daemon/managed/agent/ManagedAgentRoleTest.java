package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
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

    // Desired state, with a placeholder for the address of the origin.
    private static final String DESIRED =
            """
            {"version":1,"routes":[],"services":[
            {"name":"helper","engine":{"slots":4,"models":[{"name":"m","warmupS":0.1}],"chunks":6,
             "chunkBytes":512}},
            {"name":"origin","origin":"%s","zone":"luzon-a"}]}
            """;

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
        store = new FakeStore();
        engine = new FakeEngine();
        store.put("op", "config", DESIRED.formatted(engine.address()));
        store.put(
                "servers",
                "i-1",
                """
                {"service":"helper","address":"%s","zone":"luzon-a","slots":4,"state":"ready"}
                """
                        .formatted(engine.address()));
        String settings =
                """
                {"nodeName":"side-1","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%d,%d],"seeds":[],"listen":{},
                 "bootstrap":true,"provider":{"address":"%s"},"bounds":{"version_ms":8000},
                 "limits":{"linkMbps":1000},"app":"%s","service":"helper"}
                """
                        .formatted(FreePort.find(), 0, store.address(), engine.address());
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        new ManagedAgentRole(new ManagedNode(ManagedSettingsCodec.decode(bytes))).start();
    }

    /** Stops the fakes. */
    @AfterClass
    public void stop() {
        store.close();
        engine.close();
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
