package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.platform.SettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerChannel;
import org.papayawalk.wire.proto.Envelope;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Lets two entries and an agent follow the platform, one entry cut off from the store. Proves that
 * what the operator wants, and what servers say, reaches machines that the store turns away.
 */
public final class ManagedNodeTest {
    /** Longest wait for something that must happen, in milliseconds. */
    private static final long LIMIT_MILLIS = 15_000;

    /** Service of the only server. */
    private static final ServiceId DESK = new ServiceId("desk");

    /** Handler of an entry that keeps no weights. */
    private static final MessageHandler NO_WEIGHTS =
            new MessageHandler() {
                @Override
                public void received(Envelope message, PeerChannel from) {
                    // Weights do not matter here.
                }

                @Override
                public void closed(PeerChannel from) {
                    // Weights do not matter here.
                }
            };

    /** Store. */
    private FakeStore store;

    /** Entry that reaches the store. */
    private ManagedNode connected;

    /** Entry that the store turns away. */
    private ManagedNode isolated;

    /** Agent that asks entries only. */
    private ManagedNode agent;

    /** Evidence of the cut entry. */
    private final SuspectRegistry isolatedEvidence = new SuspectRegistry(3, Duration.ofMinutes(1));

    /** Evidence of the other entry. */
    private final SuspectRegistry connectedEvidence = new SuspectRegistry(3, Duration.ofMinutes(1));

    /**
     * Starts the store and the daemons.
     *
     * @throws IOException if a port cannot be had
     */
    @BeforeClass
    public void start() throws IOException {
        store = new FakeStore();
        store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
        store.put("servers", "i-1", server("ready"));
        int control = FreePort.find();
        connected = node("front-1", control, control, store.address());
        isolated = node("front-2", FreePort.find(), control, "127.0.0.1:1");
        agent = node("side-1", FreePort.find(), control, "127.0.0.1:1");
        connected.runAsEntry(connectedEvidence, NO_WEIGHTS);
        isolated.runAsEntry(isolatedEvidence, NO_WEIGHTS);
        agent.runAsAgent(NO_WEIGHTS);
    }

    /** Stops the store. */
    @AfterClass
    public void stop() {
        store.close();
    }

    /** A desired state reaches the entry and the agent that the store turns away. */
    @Test
    public void desiredStateReachesMachinesThatTheStoreTurnsAway() {
        Await.within(LIMIT_MILLIS, () -> version(isolated) == 4 && version(agent) == 4);
        store.put("op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
        Await.within(LIMIT_MILLIS, () -> version(isolated) == 9 && version(agent) == 9);
    }

    /** So does the leaving of a server. */
    @Test(dependsOnMethods = "desiredStateReachesMachinesThatTheStoreTurnsAway")
    public void drainReachesMachinesThatTheStoreTurnsAway() {
        assertEquals(isolated.state().snapshot().upstreams(DESK).size(), 1);
        store.put("servers", "i-1", server("draining"));
        Await.within(LIMIT_MILLIS, () -> isolated.state().snapshot().upstreams(DESK).isEmpty());
        Await.within(LIMIT_MILLIS, () -> agent.state().snapshot().upstreams(DESK).isEmpty());
    }

    /** Evidence against a request that crashes upstreams reaches the other entry, both ways. */
    @Test(dependsOnMethods = "desiredStateReachesMachinesThatTheStoreTurnsAway")
    public void evidenceReachesOtherEntries() {
        isolatedEvidence.crashed("bad", "i-7/1", isolated.clock().instant());
        connectedEvidence.crashed("worse", "i-8/1", connected.clock().instant());
        Await.within(
                LIMIT_MILLIS,
                () -> !connectedEvidence.processes("bad", connected.clock().instant()).isEmpty());
        Await.within(
                LIMIT_MILLIS,
                () -> !isolatedEvidence.processes("worse", isolated.clock().instant()).isEmpty());
    }

    /** The entries count each other, as they share budgets. */
    @Test(dependsOnMethods = "desiredStateReachesMachinesThatTheStoreTurnsAway")
    public void entriesCountEachOther() {
        Await.within(LIMIT_MILLIS, () -> connected.entryCount() == 2 && isolated.entryCount() == 2);
    }

    /**
     * Returns the version of the desired state that a daemon has.
     *
     * @param node daemon
     * @return number, 0 for none
     */
    private static long version(ManagedNode node) {
        return node.state().snapshot().desired().map(DesiredState::version).orElse(0L);
    }

    /**
     * Writes the entry of a server.
     *
     * @param state state
     * @return text
     */
    private static String server(String state) {
        return """
               {"service":"desk","address":"127.0.0.1:2","zone":"luzon-a","slots":4,"state":"%s"}
               """
                .formatted(state);
    }

    /**
     * Makes a daemon that does not run yet.
     *
     * @param name name of its machine
     * @param control port at which others find it
     * @param seed port of the seed
     * @param storeAddress address of the store
     * @return daemon
     * @throws IOException if a port cannot be had
     */
    private static ManagedNode node(String name, int control, int seed, String storeAddress)
            throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), seed, control, storeAddress);
        return new ManagedNode(SettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
