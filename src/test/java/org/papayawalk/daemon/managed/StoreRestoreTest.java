package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.place.RequestedVersion;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.MessageHandler;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An entry with access to the store and an agent without it follow a store that is restored from an
 * older copy and gives out its versions again. Without the era, both would keep waiting for
 * versions above the ones that they know, and a stale ready row would make a drained server usable.
 */
public final class StoreRestoreTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final String ENTRY_TABLE = "papayawalk-entries";

    private static final ServiceId DESK = new ServiceId("desk");

    private static final MessageHandler NO_WEIGHTS = new NoWeights();

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    private ManagedNode entry;

    private ManagedNode agent;

    private int controlPort;

    /**
     * Starts the store and the daemons, and waits until the row of the entry is written.
     *
     * @throws IOException if no port is free
     */
    @BeforeMethod
    public void start() throws IOException {
        store = new FakeStore();
        store.put("op", "config", desired(4, "key-1"));
        store.put("servers", "i-1", server("ready"));
        controlPort = FreePort.find();
        entry = node("front-1", controlPort, store.address());
        agent = node("side-1", FreePort.find(), "127.0.0.1:1");
        entry.runAsEntry(SharedEvidence.none(), NO_WEIGHTS);
        agent.runAsAgent(NO_WEIGHTS);
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 4 && version(agent) == 4);
        Await.within(TIMEOUT_MILLIS, () -> store.has(ENTRY_TABLE, "front-1"));
        store.copy();
    }

    /** Stops the daemons and the store. */
    @AfterMethod
    public void stop() {
        nodes.close();
        store.close();
    }

    /** A desired state that the store has lost stays in force; the next one is adopted. */
    @Test
    public void lostDesiredStateStaysInForce() {
        store.put("op", "config", desired(6, "key-1"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 6 && version(agent) == 6);
        store.restore();
        store.put("op", "config", desired(6, "key-1"));
        store.put("op", "config", desired(9, "key-1"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 9 && version(agent) == 9);
    }

    /** A key whose removal the store has lost stays revoked until the operator writes again. */
    @Test
    public void revokedKeyStaysRevoked() {
        store.put("op", "config", desired(6, "key-2"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 6);
        store.restore();
        store.put("servers", "i-2", server("ready").replace("127.0.0.1:2", "127.0.0.1:3"));
        Await.within(TIMEOUT_MILLIS, () -> usable(entry) == 2);
        assertEquals(version(entry), 6);
        assertTrue(!desiredState(entry).callersByKey().containsKey("key-1"));
    }

    /** A version of weights that the store has lost stays named; a later one is taken. */
    @Test
    public void lostWeightVersionStaysNamed() {
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
        Await.within(TIMEOUT_MILLIS, () -> weights(entry) == 2 && weights(agent) == 2);
        store.restore();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":3}");
        Await.within(TIMEOUT_MILLIS, () -> weights(entry) == 3 && weights(agent) == 3);
    }

    /** A drain that the store has lost is still respected; a new process is used. */
    @Test
    public void lostDrainIsStillRespected() {
        store.put("servers", "i-1", server("draining"));
        Await.within(TIMEOUT_MILLIS, () -> usable(entry) == 0 && usable(agent) == 0);
        store.restore();
        store.put("servers", "i-2", server("ready").replace("127.0.0.1:2", "127.0.0.1:3"));
        Await.within(TIMEOUT_MILLIS, () -> usable(entry) == 1 && usable(agent) == 1);
        assertEquals(entry.state().snapshot().upstreams(DESK).get(0).address(), "127.0.0.1:3");
    }

    /** The entry writes its row once for each era in which the store may have lost it. */
    @Test
    public void entryWritesItsRowOnceForEachEra() {
        int before = store.writes(ENTRY_TABLE, "front-1");
        store.restore();
        Await.within(TIMEOUT_MILLIS, () -> store.writes(ENTRY_TABLE, "front-1") == before + 1);
        store.restore();
        Await.within(TIMEOUT_MILLIS, () -> store.writes(ENTRY_TABLE, "front-1") == before + 2);
        store.put("op", "config", desired(6, "key-1"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 6 && version(agent) == 6);
        assertEquals(store.writes(ENTRY_TABLE, "front-1"), before + 2);
    }

    /** A daemon that starts after a restore follows the store like those that ran before. */
    @Test
    public void daemonStartedAfterRestoreAgrees() throws IOException {
        store.put("op", "config", desired(6, "key-1"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 6);
        store.restore();
        ManagedNode late = node("side-2", FreePort.find(), "127.0.0.1:1");
        late.runAsAgent(NO_WEIGHTS);
        store.put("op", "config", desired(7, "key-1"));
        Await.within(TIMEOUT_MILLIS, () -> version(entry) == 7 && version(late) == 7);
        store.put("servers", "i-1", server("draining"));
        Await.within(TIMEOUT_MILLIS, () -> usable(entry) == 0 && usable(late) == 0);
    }

    private static DesiredState desiredState(ManagedNode node) {
        return node.state().snapshot().desired().orElseThrow();
    }

    // Returns the version of the desired state at a daemon, 0 if it has none.
    private static long version(ManagedNode node) {
        return node.state().snapshot().desired().map(DesiredState::version).orElse(0L);
    }

    // Returns the newest version of the weights at a daemon, 0 if none was named.
    private static int weights(ManagedNode node) {
        return node.state().snapshot().newestVersion("m").map(RequestedVersion::number).orElse(0);
    }

    private static int usable(ManagedNode node) {
        return node.state().snapshot().upstreams(DESK).size();
    }

    private static String desired(int version, String key) {
        return """
               {"version":%d,"routes":[],"services":[],
                "tenants":[{"name":"bakers","apiKeys":["%s"]}]}
               """
                .formatted(version, key);
    }

    private static String server(String state) {
        return """
               {"service":"desk","address":"127.0.0.1:2","zone":"luzon-a","slots":4,"state":"%s",
                "born":17}
               """
                .formatted(state);
    }

    private ManagedNode node(String name, int control, String storeAddress) throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), controlPort, control, storeAddress);
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        return nodes.add(new ManagedNode(ManagedSettingsCodec.decode(bytes)));
    }
}
