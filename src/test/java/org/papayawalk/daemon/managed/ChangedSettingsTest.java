package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.papayawalk.core.settings.ManagedSettings;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Settings that change while a daemon runs. */
public final class ChangedSettingsTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    /**
     * Starts a store.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        store = new FakeStore();
        store.put("op", "config", "{\"version\":1,\"routes\":[],\"services\":[]}");
    }

    /** Stops the daemons and the store. */
    @AfterMethod
    public void stop() {
        nodes.close();
        store.close();
    }

    /**
     * A daemon that reaches neither the store nor an entry learns the desired state from a new
     * seed.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void newSeedsTakeEffect() throws IOException {
        int control = FreePort.find();
        ManagedNode entry =
                nodes.add(new ManagedNode(settings(FreePort.find(), control, store.address(), "")));
        entry.runAsEntry(SharedEvidence.none(), new NoWeights());
        Await.within(TIMEOUT_MILLIS, () -> entry.state().snapshot().desired().isPresent());
        String nobody = "127.0.0.1:" + FreePort.find();
        int port = FreePort.find();
        ManagedNode agent = nodes.add(new ManagedNode(settings(port, 0, nobody, "")));
        agent.runAsAgent(new NoWeights());
        String seed = "\"127.0.0.1:" + control + "\"";
        List<String> atRestart = agent.applySettings(settings(port, 0, nobody, seed));
        assertTrue(atRestart.isEmpty(), "need a restart: " + atRestart);
        Await.within(TIMEOUT_MILLIS, () -> agent.state().snapshot().desired().isPresent());
    }

    /**
     * Settings that need a restart are named.
     *
     * @throws IOException if the settings cannot be read
     */
    @Test
    public void otherSettingsNeedRestart() throws IOException {
        ManagedNode node = nodes.add(new ManagedNode(settings(1, 0, "127.0.0.1:1", "")));
        ManagedSettings changed = settings(2, 0, "127.0.0.1:2", "\"127.0.0.1:3\"");
        assertEquals(node.applySettings(changed), List.of("host", "peerPort", "storeAddress"));
    }

    private static ManagedSettings settings(int port, int control, String store, String seeds)
            throws IOException {
        String text =
                """
                {"nodeName":"node-%1$d","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%1$d,0],"seeds":[%2$s],
                 "listen":{"control":"127.0.0.1:%3$d"},"provider":{"address":"%4$s"}}
                """
                        .formatted(port, seeds, control, store);
        return ManagedSettingsCodec.decode(text.getBytes(StandardCharsets.UTF_8));
    }
}
