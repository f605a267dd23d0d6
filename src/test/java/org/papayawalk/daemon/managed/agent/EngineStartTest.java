package org.papayawalk.daemon.managed.agent;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.Test;

/**
 * An agent starts before the engine beside it, as after a start of all hosts. What lies staged at
 * the engine can be read only once that answers; an agent that does not wait for it fetches all of
 * it from the origin again.
 */
public final class EngineStartTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    /** Calls that the engine leaves unanswered before it starts. */
    private static final int CALLS_BEFORE_START = 3;

    private static final String DESIRED =
            """
            {"version":1,"routes":[],"services":[
            {"name":"helper","engine":{"slots":4,"models":[{"name":"m","warmupS":0.1}],"chunks":6,
             "chunkBytes":512}},
            {"name":"origin","origin":"%s","zone":"luzon-a"}]}
            """;

    /**
     * The engine loads what was staged, and nothing is fetched from the origin.
     *
     * @throws IOException if no port is free
     */
    @Test
    public void stagedVersionIsLoadedWithoutTheOrigin() throws IOException {
        try (FakeStore store = new FakeStore();
                FakeEngine engine = new FakeEngine()) {
            engine.stage(1);
            engine.setAvailable(false);
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
            Await.within(TIMEOUT_MILLIS, () -> engine.unanswered() >= CALLS_BEFORE_START);
            engine.setAvailable(true);
            Await.within(TIMEOUT_MILLIS, () -> engine.serving() == 1);
            assertEquals(engine.chunksSent(), 0);
            assertEquals(engine.corruptLoads(), 0);
        }
    }
}
