package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.platform.SettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Plays an engine, the origin and the store against an agent on loopback. Proves that an engine is
 * never told to load weights that are partial, spoilt or of another version.
 */
public final class ManagedAgentRoleTest {
    /** Longest wait for something that must happen, in milliseconds. */
    private static final long LIMIT_MILLIS = 20_000;

    /** Time that something which must not happen is given to happen, in milliseconds. */
    private static final long CHANCE_MILLIS = 400;

    /** Desired state, with a place for the origin. */
    private static final String DESIRED =
            """
            {"version":1,"routes":[],"services":[
            {"name":"helper","engine":{"slots":4,"models":[{"name":"m","warmupS":0.1}],"chunks":6,
             "chunkBytes":512}},
            {"name":"origin","origin":"%s","zone":"luzon-a"}]}
            """;

    /** Store. */
    private FakeStore store;

    /** Engine and origin. */
    private FakeEngine engine;

    /**
     * Starts the stand-ins and the agent. No entry runs, so the agent follows the store itself.
     *
     * @throws IOException if a port cannot be had
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
        new ManagedAgentRole(new ManagedNode(SettingsCodec.decode(bytes))).start();
    }

    /** Stops the stand-ins. */
    @AfterClass
    public void stop() {
        store.close();
        engine.close();
    }

    /** An engine that serves nothing gets the first version, each chunk from the origin once. */
    @Test
    public void emptyEngineIsFilled() {
        Await.within(LIMIT_MILLIS, () -> engine.serving() == 1);
        assertEquals(engine.corruptLoads(), 0);
        assertEquals(engine.chunksSent(), FakeEngine.CHUNKS);
    }

    /**
     * Wrong bytes of the origin are not staged, and what turns bad is staged anew before the load.
     */
    @Test(dependsOnMethods = "emptyEngineIsFilled")
    public void spoiltChunksAreNeverLoaded() {
        engine.corrupt(3, 2);
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
        Await.within(LIMIT_MILLIS, () -> engine.serving() == 2);
        assertEquals(engine.corruptLoads(), 0);
    }

    /** An engine that lost its weights gets them again, without a further copy from the origin. */
    @Test(dependsOnMethods = "spoiltChunksAreNeverLoaded")
    public void restartedEngineIsFilledAgain() {
        int before = engine.chunksSent();
        engine.restart();
        Await.within(LIMIT_MILLIS, () -> engine.serving() == 2);
        assertEquals(engine.corruptLoads(), 0);
        assertEquals(engine.chunksSent(), before);
    }

    /** Of versions named in quick succession the newest is served in the end. */
    @Test(dependsOnMethods = "restartedEngineIsFilledAgain")
    public void newestOfSeveralVersionsIsServed() {
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":5}");
        Await.within(LIMIT_MILLIS, () -> engine.serving() == 5);
        assertEquals(engine.corruptLoads(), 0);
    }

    /**
     * While the engine decides on an order, nothing of a newer version is staged over what it is
     * about to load.
     */
    @Test(dependsOnMethods = "newestOfSeveralVersionsIsServed")
    public void newerVersionIsNotStagedOverAnOrder() {
        engine.holdOrders();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":6}");
        Await.within(LIMIT_MILLIS, () -> engine.heldOrders() == 1);
        int before = engine.stagedWrites();
        int sent = engine.chunksSent();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":7}");
        Await.within(LIMIT_MILLIS, () -> engine.chunksSent() > sent);
        happens(() -> engine.stagedWrites() > before);
        engine.releaseOrders();
        Await.within(LIMIT_MILLIS, () -> engine.serving() == 7);
        assertEquals(engine.corruptLoads(), 0);
    }

    /**
     * Waits until something holds, or for a short time if it does not.
     *
     * @param condition condition
     */
    private static void happens(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CHANCE_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }
}
