package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.limit.UpstreamLimits;
import org.papayawalk.core.suspect.PromptPartRegistry;
import org.papayawalk.core.suspect.SuspectRegistry;
import org.papayawalk.core.upstream.EngineNotice;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.papayawalk.wire.MessageHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Two entries and an agent follow the platform, of which one entry and the agent have no access to
 * the store. Verifies that the desired state, changes of servers and crash evidence reach them
 * through the other entry.
 */
public final class ManagedNodeTest {
    private static final long TIMEOUT_MILLIS = 15_000;

    private static final int WEIGHT_VERSIONS = 5;

    private static final long AGE_TIMEOUT_MILLIS = 2000;

    private static final long MAX_AGE_DIFFERENCE_MILLIS = 50;

    private static final ServiceId DESK = new ServiceId("desk");

    private static final ServiceId HELPER = new ServiceId("helper");

    private static final String ENGINE_ADDRESS = "127.0.0.1:3";

    private static final long ENGINE_INCARNATION = 17;

    private static final String ENGINE_ROW =
            """
            {"service":"helper","address":"127.0.0.1:3","zone":"luzon-a","slots":4,"state":"ready",
             "born":17,"models":[{"name":"m","version":1,"adapters":[]}]}
            """;

    private static final MessageHandler NO_WEIGHTS = new NoWeights();

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    // Entry with access to the store.
    private ManagedNode connected;

    // Entry without access to the store.
    private ManagedNode isolated;

    // Agent without access to the store.
    private ManagedNode agent;

    private final SuspectRegistry isolatedEvidence = new SuspectRegistry(3, Duration.ofMinutes(1));

    private final SuspectRegistry connectedEvidence = new SuspectRegistry(3, Duration.ofMinutes(1));

    private final UpstreamLimits isolatedLimits = new UpstreamLimits(new HostId("a"), Set::of);

    private final UpstreamLimits connectedLimits = new UpstreamLimits(new HostId("b"), Set::of);

    /**
     * Starts the store and the daemons.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        store = new FakeStore();
        store.put("op", "config", "{\"version\":4,\"routes\":[],\"services\":[]}");
        store.put("servers", "i-1", server("ready"));
        store.put("servers", "i-9", ENGINE_ROW);
        int control = FreePort.find();
        connected = nodes.add(node("front-1", control, control, store.address()));
        isolated = nodes.add(node("front-2", FreePort.find(), control, "127.0.0.1:1"));
        agent = nodes.add(node("side-1", FreePort.find(), control, "127.0.0.1:1"));
        connected.runAsEntry(evidence(connectedEvidence, connectedLimits), NO_WEIGHTS);
        isolated.runAsEntry(evidence(isolatedEvidence, isolatedLimits), NO_WEIGHTS);
        agent.runAsAgent(NO_WEIGHTS);
    }

    /** Stops the daemons and the store. */
    @AfterClass
    public void stop() {
        nodes.close();
        store.close();
    }

    /** A desired state reaches the entry and the agent that have no access to the store. */
    @Test
    public void desiredStateReachesDaemonsWithoutStoreAccess() {
        Await.within(TIMEOUT_MILLIS, () -> version(isolated) == 4 && version(agent) == 4);
        store.put("op", "config", "{\"version\":9,\"routes\":[],\"services\":[]}");
        Await.within(TIMEOUT_MILLIS, () -> version(isolated) == 9 && version(agent) == 9);
    }

    /** The draining of a server reaches them too. */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void drainReachesDaemonsWithoutStoreAccess() {
        assertEquals(isolated.state().snapshot().upstreams(DESK).size(), 1);
        store.put("servers", "i-1", server("draining"));
        Await.within(TIMEOUT_MILLIS, () -> isolated.state().snapshot().upstreams(DESK).isEmpty());
        Await.within(TIMEOUT_MILLIS, () -> agent.state().snapshot().upstreams(DESK).isEmpty());
    }

    /** Crash evidence against a request reaches the other entry, in both directions. */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void evidenceReachesOtherEntries() {
        isolatedEvidence.recordCrash("bad", "i-7/1", isolated.clock().instant());
        connectedEvidence.recordCrash("worse", "i-8/1", connected.clock().instant());
        Await.within(
                TIMEOUT_MILLIS,
                () ->
                        !connectedEvidence
                                .crashedProcesses("bad", connected.clock().instant())
                                .isEmpty());
        Await.within(
                TIMEOUT_MILLIS,
                () ->
                        !isolatedEvidence
                                .crashedProcesses("worse", isolated.clock().instant())
                                .isEmpty());
    }

    /** A limit that an upstream stated to one entry reaches the other, in both directions. */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void limitsReachOtherEntries() {
        UpstreamProcess first = new UpstreamProcess(new UpstreamId("i-5"), 1);
        UpstreamProcess second = new UpstreamProcess(new UpstreamId("i-6"), 1);
        isolatedLimits.stated(first, 0.1, isolated.clock().instant());
        connectedLimits.stated(second, 0.1, connected.clock().instant());
        Await.within(
                TIMEOUT_MILLIS,
                () ->
                        !connectedLimits.admits(first, connected.clock().instant())
                                && !isolatedLimits.admits(second, isolated.clock().instant()));
    }

    /**
     * What an agent tells of its engine reaches both entries, also the one without access to the
     * store: first that the engine loads a version, then that it serves it.
     */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void noticesOfAnEngineReachTheEntries() {
        Await.within(TIMEOUT_MILLIS, () -> agent.liveEntries().size() == 2);
        agent.notifyEntries(new EngineNotice(ENGINE_ADDRESS, ENGINE_INCARNATION, "m", 1, 2));
        UpstreamId engine = new UpstreamId("i-9");
        Await.within(
                TIMEOUT_MILLIS,
                () ->
                        connected.state().snapshot().loading().contains(engine)
                                && isolated.state().snapshot().loading().contains(engine));
        agent.notifyEntries(new EngineNotice(ENGINE_ADDRESS, ENGINE_INCARNATION, "m", 2, 0));
        Await.within(
                TIMEOUT_MILLIS,
                () ->
                        connected.state().snapshot().isServed(HELPER, "m", 2)
                                && isolated.state().snapshot().isServed(HELPER, "m", 2));
        assertTrue(isolated.state().snapshot().loading().isEmpty());
    }

    /**
     * An entry that learns of a version of weights from another one, up to 0.4 s later, counts its
     * age from the same time.
     */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void ageOfRequestedWeightsReachesOtherEntries() {
        for (int i = 2; i <= 1 + WEIGHT_VERSIONS; i++) {
            int number = i;
            store.put("op", "version/w", "{\"model\":\"w\",\"version\":%d}".formatted(number));
            Await.within(TIMEOUT_MILLIS, () -> age(isolated, number).isPresent());
            Await.within(
                    AGE_TIMEOUT_MILLIS,
                    () -> ageDifferenceMillis(number) <= MAX_AGE_DIFFERENCE_MILLIS);
        }
    }

    /** The entries count each other, as they divide budgets among them. */
    @Test(dependsOnMethods = "desiredStateReachesDaemonsWithoutStoreAccess")
    public void entriesCountEachOther() {
        Await.within(
                TIMEOUT_MILLIS, () -> connected.entryCount() == 2 && isolated.entryCount() == 2);
    }

    private static SharedEvidence evidence(SuspectRegistry suspects, UpstreamLimits limits) {
        return new SharedEvidence(suspects, limits, new PromptPartRegistry(p -> false));
    }

    // Returns the version of the desired state at a daemon, 0 if it has none.
    private static long version(ManagedNode node) {
        return node.state().snapshot().desired().map(DesiredState::version).orElse(0L);
    }

    private long ageDifferenceMillis(int number) {
        Duration here = age(connected, number).orElseThrow();
        return here.minus(age(isolated, number).orElseThrow()).abs().toMillis();
    }

    // Returns the time since version of model "w" was requested, as a daemon has it.
    private static Optional<Duration> age(ManagedNode node, int number) {
        return node.state().snapshot().versions().getOrDefault("w", List.of()).stream()
                .filter(v -> v.number() == number)
                .map(v -> Duration.between(v.receivedAt(), node.clock().instant()))
                .findFirst();
    }

    // Returns the row of the server in a state.
    private static String server(String state) {
        return """
               {"service":"desk","address":"127.0.0.1:2","zone":"luzon-a","slots":4,"state":"%s"}
               """
                .formatted(state);
    }

    private static ManagedNode node(String name, int control, int seed, String storeAddress)
            throws IOException {
        String settings =
                """
                {"nodeName":"%s","ip":"127.0.0.1","zone":"luzon-a","zones":{"luzon-a":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(name, FreePort.find(), seed, control, storeAddress);
        return new ManagedNode(
                ManagedSettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }
}
