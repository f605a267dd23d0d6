package org.papayawalk.daemon.managed.agent;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.RunningNodes;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.FreePort;

/**
 * Agent on loopback with fakes for the store, the engine and the origin. No entry runs, so the
 * agent watches the store itself. Confined to one thread.
 */
final class ManagedAgentFixture implements AutoCloseable {
    /** Desired state, with a format specifier for the address of the origin. */
    private static final String DESIRED =
            """
            {"version":1,"routes":[],"services":[
            {"name":"helper","engine":{"slots":4,"models":[{"name":"m","warmupS":0.1}],"chunks":6,
             "chunkBytes":512}},
            {"name":"origin","origin":"%s","zone":"luzon-a"}]}
            """;

    private final FakeStore store = new FakeStore();

    /** Serves as engine and as origin. */
    private final FakeEngine engine = new FakeEngine();

    private final RunningNodes agents = new RunningNodes();

    /** Agent that was started last. */
    private ManagedNode agent;

    /**
     * Starts the fakes; {@link #startAgent} starts the agent.
     *
     * @throws IOException if no port is free
     */
    ManagedAgentFixture() throws IOException {
        store.put("op", "config", DESIRED.formatted(engine.address()));
        store.put(
                "servers",
                "i-1",
                """
                {"service":"helper","address":"%s","zone":"luzon-a","slots":4,"state":"ready"}
                """
                        .formatted(engine.address()));
    }

    /**
     * Starts the agent.
     *
     * @throws IOException if no port is free
     */
    void startAgent() throws IOException {
        String settings =
                """
                {"nodeName":"side-1","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%d,%d],"seeds":[],"listen":{},
                 "bootstrap":true,"provider":{"address":"%s"},"bounds":{"version_ms":8000},
                 "limits":{"linkMbps":1000},"app":"%s","service":"helper"}
                """
                        .formatted(FreePort.find(), 0, store.address(), engine.address());
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        agent = agents.add(new ManagedNode(ManagedSettingsCodec.decode(bytes)));
        new ManagedAgentRole(agent).start();
    }

    /**
     * Ends the agent that was started last, as a kill does: it tells nobody and cleans up nothing.
     */
    void killAgent() {
        agent.thread().close();
        agent.runtime().close();
    }

    /**
     * Returns the store.
     *
     * @return store
     */
    FakeStore store() {
        return store;
    }

    /**
     * Returns the engine, which is the origin too.
     *
     * @return engine
     */
    FakeEngine engine() {
        return engine;
    }

    @Override
    public void close() {
        agents.close();
        store.close();
        engine.close();
    }
}
