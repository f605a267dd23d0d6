package org.papayawalk.daemon.managed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.desired.DesiredState;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.upstream.FeedRole;
import org.papayawalk.core.upstream.PollSchedule;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Eight entries of one region, of which two should follow the tables at the store and the others
 * get their rows from these. Frozen entries do not do or answer anything, while their connections
 * stay open.
 */
public final class RegionalSourcesTest {
    private static final int ENTRIES = 8;

    private static final int CHANGES = 12;

    private static final int CHANGE_INTERVAL_MILLIS = 300;

    private static final long TIMEOUT_MILLIS = 15_000;

    // Longest time from a change to each entry; the default of the settings.
    private static final int MAX_DELAY_MILLIS = 2000;

    private static final int CALM_MILLIS = 4000;

    private static final String SERVER =
            """
            {"service":"desk","address":"10.0.0.%d:80","zone":"luzon-a","slots":4,"state":"ready"}
            """;

    private final List<ManagedNode> entries = new ArrayList<>();

    private final RunningNodes nodes = new RunningNodes();

    private FakeStore store;

    private int version = 4;

    /**
     * Starts the store and the entries, and waits until these know each other.
     *
     * @throws IOException if no port is free
     */
    @BeforeClass
    public void start() throws IOException {
        store = new FakeStore();
        change();
        store.copy();
        int control = FreePort.find();
        for (int i = 0; i < ENTRIES; i++) {
            ManagedNode entry = nodes.add(node(i, i == 0 ? control : FreePort.find(), control));
            entry.runAsEntry(SharedEvidence.none(), new NoWeights());
            entries.add(entry);
        }
        Await.within(
                TIMEOUT_MILLIS, () -> entries.stream().allMatch(e -> e.entryCount() == ENTRIES));
    }

    /** Stops the daemons and the store. */
    @AfterClass
    public void stop() {
        nodes.close();
        store.close();
    }

    /**
     * The store sends most changes to the sources only, and all entries have each one.
     *
     * @throws InterruptedException if interrupted
     */
    @Test
    public void storeSendsChangesToTheSources() throws InterruptedException {
        Thread.sleep(MAX_DELAY_MILLIS);
        int before = store.polls().rows("op");
        for (int i = 0; i < CHANGES; i++) {
            change();
            Await.within(MAX_DELAY_MILLIS, () -> entries.stream().allMatch(this::isCurrent));
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        int rows = store.polls().rows("op") - before;
        assertTrue(rows < CHANGES * ENTRIES / 2, rows + " rows for " + CHANGES + " changes");
    }

    /**
     * The same holds for rows of servers.
     *
     * @throws InterruptedException if interrupted
     */
    @Test(dependsOnMethods = "storeSendsChangesToTheSources")
    public void storeSendsServersToTheSources() throws InterruptedException {
        int before = store.polls().rows("servers");
        for (int i = 1; i <= CHANGES; i++) {
            int servers = i;
            store.put("servers", "i-" + i, SERVER.formatted(i));
            Await.within(
                    MAX_DELAY_MILLIS, () -> entries.stream().allMatch(e -> servers(e) == servers));
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        int rows = store.polls().rows("servers") - before;
        assertTrue(rows < CHANGES * ENTRIES / 2, rows + " rows for " + CHANGES + " changes");
    }

    /**
     * While nothing changes, followers get proofs from the sources and hardly call the store.
     *
     * @throws InterruptedException if interrupted
     */
    @Test(dependsOnMethods = "storeSendsServersToTheSources")
    public void followersDoNotPollInCalm() throws InterruptedException {
        Thread.sleep(MAX_DELAY_MILLIS);
        int before = store.polls().polls("servers") + store.polls().polls("op");
        Thread.sleep(CALM_MILLIS);
        int polls = store.polls().polls("servers") + store.polls().polls("op") - before;
        long ofSources = 2 * FeedRole.SOURCES * (CALM_MILLIS / FakeStore.MAX_WAIT_MILLIS + 1);
        long allowed = ofSources + 2 * (ENTRIES - FeedRole.SOURCES);
        assertTrue(polls <= allowed, polls + " polls, " + ofSources + " of the sources");
    }

    /** Entries whose rows a restore has lost write them again, also if they follow a source. */
    @Test(dependsOnMethods = "frozenSourcesHoldNothingBack")
    public void followersWriteTheirRowsAfterARestore() {
        store.restore();
        change();
        Await.within(TIMEOUT_MILLIS, () -> entries.stream().allMatch(this::isCurrent));
        Await.within(TIMEOUT_MILLIS, () -> entries.stream().allMatch(this::isRegistered));
    }

    /**
     * Both sources freeze at the same moment. The others have a change in time.
     *
     * @throws InterruptedException if interrupted
     */
    @Test(dependsOnMethods = "followersDoNotPollInCalm")
    public void frozenSourcesHoldNothingBack() throws InterruptedException {
        List<ManagedNode> sources = entries.stream().filter(this::isSource).toList();
        assertEquals(sources.size(), FeedRole.SOURCES);
        List<ManagedNode> others = new ArrayList<>(entries);
        others.removeAll(sources);
        CountDownLatch frozen = new CountDownLatch(sources.size());
        CountDownLatch thaw = new CountDownLatch(1);
        sources.forEach(s -> s.thread().execute(() -> freeze(frozen, thaw)));
        assertTrue(frozen.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 2; i++) {
            change();
            Await.within(MAX_DELAY_MILLIS, () -> others.stream().allMatch(this::isCurrent));
        }
        thaw.countDown();
        Await.within(TIMEOUT_MILLIS, () -> entries.stream().allMatch(this::isCurrent));
    }

    private static void freeze(CountDownLatch frozen, CountDownLatch thaw) {
        frozen.countDown();
        try {
            thaw.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void change() {
        version++;
        store.put(
                "op",
                "config",
                "{\"version\":%d,\"routes\":[],\"services\":[]}".formatted(version));
    }

    private boolean isCurrent(ManagedNode entry) {
        return entry.state().snapshot().desired().map(DesiredState::version).orElse(0L) == version;
    }

    private boolean isRegistered(ManagedNode entry) {
        return store.has("papayawalk-entries", entry.settings().host().value());
    }

    private static int servers(ManagedNode entry) {
        return entry.state().snapshot().upstreams(new ServiceId("desk")).size();
    }

    private boolean isSource(ManagedNode entry) {
        PollSchedule schedule = new PollSchedule(Duration.ofMillis(MAX_DELAY_MILLIS));
        FeedRole role = new FeedRole(entry.settings().peerAddress(), schedule);
        role.update(entries.stream().map(e -> e.settings().peerAddress()).toList());
        return role.source(entry.clock().instant()).isEmpty();
    }

    private static ManagedNode node(int index, int control, int seed, FakeStore store)
            throws IOException {
        String settings =
                """
                {"nodeName":"front-%d","ip":"127.0.0.1","zone":"luzon-%s",
                 "zones":{"luzon-a":"luzon","luzon-b":"luzon"},
                 "internalPorts":[%d,0],"seeds":["127.0.0.1:%d"],
                 "listen":{"control":"127.0.0.1:%d"},"provider":{"address":"%s"}}
                """
                        .formatted(
                                index,
                                index % 2 == 0 ? "a" : "b",
                                FreePort.find(),
                                seed,
                                control,
                                store.address());
        return new ManagedNode(
                ManagedSettingsCodec.decode(settings.getBytes(StandardCharsets.UTF_8)));
    }

    private ManagedNode node(int index, int control, int seed) throws IOException {
        return node(index, control, seed, store);
    }
}
