package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.RunningNodes;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;

/**
 * Entry on loopback with fakes for the store and two servers; further entries may be added.
 * Confined to one thread.
 */
final class ManagedEntryFixture implements AutoCloseable {
    private static final long AWAIT_TIMEOUT_MILLIS = 10_000;

    /** Desired state, with placeholders for its version and its key. */
    private static final String DESIRED =
            """
            {"version":%d,"routes":[
            {"name":"read","host":"shop.example","prefix":"/read/","kind":"safe","timeoutMs":3000,
             "targetLatencyMs":500,"priority":2,"service":"desk","maxAttempts":2},
            {"name":"pay","host":"shop.example","prefix":"/pay/","kind":"non_idempotent",
             "timeoutMs":1500,"targetLatencyMs":500,"priority":2,"service":"desk","maxAttempts":1},
            {"name":"order","host":"shop.example","prefix":"/order/","kind":"non_idempotent",
             "timeoutMs":10000,"targetLatencyMs":500,"priority":2,"service":"desk","maxAttempts":1},
            {"name":"advice","host":"shop.example","prefix":"/advice/","kind":"streaming",
             "timeoutMs":4000,"targetLatencyMs":500,"priority":1,"service":"desk","maxAttempts":2,
             "resumeStreams":true}],
            "services":[{"name":"desk","maxConnections":50}],
            "limits":{"maxHeaderBytes":2048,"maxBodyBytes":4096,"headerTimeoutMs":400,
             "idleTimeoutMs":15000},
            "tenants":[{"name":"bakers","apiKeys":["%s"]}]}
            """;

    private final RunningNodes nodes = new RunningNodes();

    private final FakeStore store;

    private final FakeUpstream first;

    private final FakeUpstream second;

    private final TestCaller caller;

    private final ManagedEntryRole role;

    private final int readyPort;

    // Node of the first entry.
    private ManagedNode firstNode;

    // Entries so far; each has an IP address of its own.
    private int entryCount;

    /**
     * Starts the store, the servers and the entry, and waits until the entry is ready.
     *
     * @throws IOException if a port cannot be bound
     */
    ManagedEntryFixture() throws IOException {
        store = new FakeStore();
        first = new FakeUpstream(Mode.WHOLE);
        second = new FakeUpstream(Mode.WHOLE);
        store.put("op", "config", desired(1, "key-1"));
        store.put("servers", "i-1", entry(first, "ready"));
        store.put("servers", "i-2", entry(second, "ready"));
        int port = FreePort.find();
        readyPort = FreePort.find();
        caller = new TestCaller(port);
        role = startEntry(port, readyPort);
        await(this::ready);
    }

    /**
     * Starts a further entry and waits until it is ready.
     *
     * @return caller of that entry
     * @throws IOException if a port cannot be bound
     */
    TestCaller addEntry() throws IOException {
        int port = FreePort.find();
        int ready = FreePort.find();
        startEntry(port, ready);
        await(() -> TestCaller.get(ready, "/readiness").status() == 200);
        return new TestCaller(port);
    }

    private ManagedEntryRole startEntry(int port, int ready) throws IOException {
        entryCount++;
        String settings =
                """
                {"nodeName":"front-%d","ip":"127.0.0.%d","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%d,%d],"seeds":[],
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
                 "provider":{"address":"%s"},"bounds":{"graceS":8,"budgetSlack":500},
                 "limits":{"linkMbps":1000}}
                """
                        .formatted(
                                entryCount,
                                entryCount,
                                FreePort.find(),
                                0,
                                port,
                                ready,
                                store.address());
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        ManagedNode node = nodes.add(new ManagedNode(ManagedSettingsCodec.decode(bytes)));
        firstNode = firstNode == null ? node : firstNode;
        ManagedEntryRole started = new ManagedEntryRole(node);
        started.start();
        return started;
    }

    /**
     * Holds the event loops of the first entry.
     *
     * @return ends the hold; what arrives until then is handled in the order of arrival
     */
    Runnable holdEventLoops() {
        CountDownLatch held = new CountDownLatch(1);
        firstNode.runtime().group().forEach(loop -> loop.execute(() -> awaitLatch(held)));
        return held::countDown;
    }

    /**
     * Holds the event loop of the first entry while it reads a connection.
     *
     * @return hold, ended by {@link HeldRead#close()}
     * @throws IOException if a port cannot be bound
     */
    HeldRead holdReads() throws IOException {
        return new HeldRead(firstNode.runtime().group());
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
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
     * Returns the first server.
     *
     * @return server
     */
    FakeUpstream first() {
        return first;
    }

    /**
     * Returns the second server.
     *
     * @return server
     */
    FakeUpstream second() {
        return second;
    }

    /**
     * Returns the caller.
     *
     * @return caller
     */
    TestCaller caller() {
        return caller;
    }

    /**
     * Returns the entry.
     *
     * @return role
     */
    ManagedEntryRole role() {
        return role;
    }

    /**
     * Queries the readiness endpoint of the entry.
     *
     * @return true if the entry reports that it is ready
     */
    boolean ready() {
        return TestCaller.get(readyPort, "/readiness").status() == 200;
    }

    /**
     * Returns how many requests the first entry has read.
     *
     * @return number since its start
     */
    long receivedCount() {
        return TestCaller.get(readyPort, "/metrics")
                .body()
                .lines()
                .filter(l -> l.startsWith("papayawalk_requests_received_total "))
                .mapToLong(l -> (long) Double.parseDouble(l.substring(l.indexOf(' '))))
                .sum();
    }

    /**
     * Returns the present time of the first entry.
     *
     * @return time by its monotonic clock
     */
    Instant now() {
        return firstNode.clock().instant();
    }

    /**
     * Returns whether the first entry knows an upstream that takes requests.
     *
     * @param id id of the upstream
     * @return false if it is unknown or leaves
     */
    boolean knowsUsable(String id) {
        return firstNode.state().snapshot().upstreams().orElseThrow().values().stream()
                .flatMap(List::stream)
                .anyMatch(u -> u.id().value().equals(id) && !u.draining());
    }

    /**
     * Returns whether the first entry knows an upstream in a failure domain.
     *
     * @param id id of the upstream
     * @param domain name of the failure domain
     * @return false if it is unknown, or known in another domain only
     */
    boolean knowsUsable(String id, String domain) {
        return firstNode.state().snapshot().upstreams().orElseThrow().values().stream()
                .flatMap(List::stream)
                .anyMatch(u -> u.id().value().equals(id) && u.domain().value().equals(domain));
    }

    /**
     * Formats a desired state.
     *
     * @param version version number
     * @param key the only accepted key
     * @return JSON text
     */
    static String desired(int version, String key) {
        return DESIRED.formatted(version, key);
    }

    @Override
    public void close() throws IOException {
        nodes.close();
        store.close();
        first.close();
        second.close();
    }

    /**
     * Waits until a condition holds, and fails after 10 s.
     *
     * @param condition condition
     */
    static void await(BooleanSupplier condition) {
        Await.within(AWAIT_TIMEOUT_MILLIS, condition);
    }

    /**
     * Formats the store entry of a server.
     *
     * @param server server
     * @param state lifecycle state, such as "ready" or "draining"
     * @return JSON text
     */
    static String entry(FakeUpstream server, String state) {
        return entry(server, state, 1);
    }

    /**
     * Formats the store entry of a server.
     *
     * @param server server
     * @param state lifecycle state, such as "ready" or "draining"
     * @param born start of its process, in milliseconds since the epoch
     * @return JSON text
     */
    static String entry(FakeUpstream server, String state, long born) {
        return """
               {"service":"desk","address":"%s","zone":"luzon-a","slots":4,"state":"%s","born":%d}
               """
                .formatted(server.address(), state, born);
    }
}
