package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.ManagedNode;
import org.papayawalk.daemon.managed.RunningNodes;
import org.papayawalk.daemon.managed.SlowLink;
import org.papayawalk.platform.ManagedSettingsCodec;
import org.papayawalk.support.Await;
import org.papayawalk.support.FreePort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * A request waits in the queue of an overloaded engine while the version of its weights expires. If
 * the entry left it there, it would begin on a version that may no longer answer.
 */
public final class WeightExpiryTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final long VERSION_DEADLINE_MILLIS = 3000;

    private static final long SLOW_MILLIS = 800;

    private static final long LATE_ANSWER_MILLIS = 1100;

    private static final int CALLERS = 12;

    private static final long CALLER_PAUSE_MILLIS = 90;

    // The route's timeout is longer than the time that an old version may answer, which is 3 s.
    private static final String DESIRED =
            """
            {"version":1,"routes":[
            {"name":"advice","host":"shop.example","prefix":"/advice/","kind":"streaming",
             "timeoutMs":9000,"targetLatencyMs":500,"priority":1,"service":"helper",
             "maxAttempts":1,"resumeStreams":true}],
            "services":[{"name":"helper","maxConnections":50}],
            "limits":{"maxHeaderBytes":2048,"maxBodyBytes":4096,"headerTimeoutMs":400,
             "idleTimeoutMs":15000},
            "tenants":[{"name":"bakers","apiKeys":["key-1"]}]}
            """;

    private static final String ENGINE =
            """
            {"service":"helper","address":"%s","zone":"luzon-a","slots":40,"state":"ready","born":1,
             "models":[{"name":"m","version":1,"adapters":[]}]}
            """;

    private final RunningNodes nodes = new RunningNodes();

    /** Stops the daemons of a test. */
    @AfterMethod
    public void stop() {
        nodes.close();
    }

    /**
     * The request is withdrawn when the version expires, long before the timeout of its route.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void requestThatHasNotBegunIsWithdrawn() throws IOException {
        try (FakeStore store = new FakeStore();
                FakeUpstream engine = new FakeUpstream(Mode.MUTE)) {
            store.put("op", "config", DESIRED);
            store.put("servers", "i-1", ENGINE.formatted(engine.address()));
            int port = FreePort.find();
            int readyPort = FreePort.find();
            ManagedNode node = start(port, readyPort, store.address());
            Await.within(
                    TIMEOUT_MILLIS, () -> TestCaller.get(readyPort, "/readiness").status() == 200);
            store.put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
            Await.within(
                    TIMEOUT_MILLIS, () -> node.state().snapshot().newestVersion("m").isPresent());
            TestCaller caller = new TestCaller(port);
            try (Socket socket = caller.connect()) {
                String request = caller.request("GET", "/advice/x", "key-1");
                TestCaller.write(
                        socket, request.replace("\r\nConnection", "\r\nX-Model: m\r\nConnection"));
                assertEquals(TestCaller.read(socket).status(), 502);
            }
            Await.within(TIMEOUT_MILLIS, () -> engine.abandoned().equals(List.of("r1")));
        }
    }

    /**
     * Requests and cancellations take 0.8 s to the upstream, and requests wait there.
     *
     * @throws IOException if a port cannot be bound
     * @throws InterruptedException if the test is interrupted
     */
    @Test
    public void nothingBeginsOnAnExpiredVersionBehindASlowLink()
            throws IOException, InterruptedException {
        try (FakeStore store = new FakeStore();
                FakeUpstream engine = new FakeUpstream(Mode.QUEUED);
                SlowLink link = new SlowLink(engine.address())) {
            link.delayThere(SLOW_MILLIS);
            store.put("servers", "i-1", ENGINE.formatted(link.address()));
            assertNothingBeginsLate(store, store.address(), engine, () -> {});
        }
    }

    /**
     * The answer of the store that tells of the new version takes 1.1 s.
     *
     * @throws IOException if a port cannot be bound
     * @throws InterruptedException if the test is interrupted
     */
    @Test
    public void nothingBeginsOnAVersionWhoseExpiryWasLearnedLate()
            throws IOException, InterruptedException {
        try (FakeStore store = new FakeStore();
                FakeUpstream engine = new FakeUpstream(Mode.QUEUED);
                SlowLink link = new SlowLink(store.address())) {
            store.put("servers", "i-1", ENGINE.formatted(engine.address()));
            engine.queueMillis(1);
            assertNothingBeginsLate(
                    store, link.address(), engine, () -> link.delayBack(LATE_ANSWER_MILLIS));
        }
    }

    // Names a version while callers send requests all the time, and checks when requests begin.
    private void assertNothingBeginsLate(
            FakeStore store, String storeAddress, FakeUpstream engine, Runnable beforeNaming)
            throws IOException, InterruptedException {
        store.put("op", "config", DESIRED);
        int port = FreePort.find();
        int readyPort = FreePort.find();
        start(port, readyPort, storeAddress);
        Await.within(TIMEOUT_MILLIS, () -> TestCaller.get(readyPort, "/readiness").status() == 200);
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        for (int i = 0; i < CALLERS; i++) {
            callers.execute(() -> sendRepeatedly(port));
            TimeUnit.MILLISECONDS.sleep(CALLER_PAUSE_MILLIS);
        }
        Await.within(TIMEOUT_MILLIS, () -> engine.begunNanos().size() >= CALLERS);
        beforeNaming.run();
        store.put("op", "version/m", "{\"model\":\"m\",\"version\":2}");
        long namedAt = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(2 * VERSION_DEADLINE_MILLIS);
        callers.shutdownNow();
        List<Long> begunMillis =
                engine.begunNanos().stream()
                        .map(t -> TimeUnit.NANOSECONDS.toMillis(t - namedAt))
                        .filter(t -> t > 0)
                        .toList();
        assertTrue(begunMillis.size() > 0, "no request began on the old version");
        assertTrue(
                Collections.max(begunMillis) <= VERSION_DEADLINE_MILLIS,
                "a request began %d ms after the new version was named"
                        .formatted(Collections.max(begunMillis)));
    }

    private static void sendRepeatedly(int port) {
        TestCaller caller = new TestCaller(port);
        while (!Thread.currentThread().isInterrupted()) {
            try (Socket socket = caller.connect()) {
                String request = caller.request("GET", "/advice/x", "key-1");
                TestCaller.write(
                        socket, request.replace("\r\nConnection", "\r\nX-Model: m\r\nConnection"));
                TestCaller.read(socket);
                TimeUnit.MILLISECONDS.sleep(CALLER_PAUSE_MILLIS);
            } catch (IOException e) {
                throw new AssertionError("no response from the entry on port " + port, e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private ManagedNode start(int port, int readyPort, String storeAddress) throws IOException {
        String settings =
                """
                {"nodeName":"front-1","ip":"127.0.0.1","zone":"luzon-a",
                 "zones":{"luzon-a":"luzon"},"internalPorts":[%d,%d],"seeds":[],
                 "listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d"},
                 "provider":{"address":"%s"},
                 "bounds":{"graceS":8,"budgetSlack":500,"version_ms":%d},
                 "limits":{"linkMbps":1000}}
                """
                        .formatted(
                                FreePort.find(),
                                0,
                                port,
                                readyPort,
                                storeAddress,
                                VERSION_DEADLINE_MILLIS);
        byte[] bytes = settings.getBytes(StandardCharsets.UTF_8);
        ManagedNode node = nodes.add(new ManagedNode(ManagedSettingsCodec.decode(bytes)));
        new ManagedEntryRole(node).start();
        return node;
    }
}
