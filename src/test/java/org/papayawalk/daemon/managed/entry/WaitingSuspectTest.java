package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.papayawalk.core.id.PromptPartId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.id.UpstreamProcess;
import org.papayawalk.core.suspect.PartVerdict;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Requests wait for capacity while a part of their prompts becomes suspected. Guards against
 * sending all of them at once, as they were admitted before.
 */
public final class WaitingSuspectTest {
    /** Requests that take all capacity; those beyond it wait. */
    private static final int FILLING = 40;

    private static final int SUSPECTS = 6;

    /** Crashes that make a part suspected but not refused, though it was answered before. */
    private static final int CRASHES = 5;

    private static final String PART = "a0a0";

    private ManagedEntryFixture fixture;

    private ExecutorService callers;

    /**
     * Starts the fakes and the entry, with routes whose requests may wait for long.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        callers = Executors.newCachedThreadPool();
        String patient =
                ManagedEntryFixture.desired(2, "key-2")
                        .replace("\"timeoutMs\":3000", "\"timeoutMs\":60000")
                        .replace("\"targetLatencyMs\":500", "\"targetLatencyMs\":40000");
        fixture.store().put("op", "config", patient);
        ManagedEntryFixture.await(
                () -> fixture.caller().send("GET", "/read/x", "key-2").status() == 200);
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        callers.shutdown();
        fixture.close();
    }

    /**
     * One of the waiting requests is sent, as a trial; the others are refused.
     *
     * @throws Exception if a caller fails
     */
    @Test
    public void waitingRequestsRunAsTrialsOncePartIsSuspected() throws Exception {
        List<PromptPartId> parts = List.of(new PromptPartId(PART));
        fixture.role().promptParts().recordAnswer(parts, fixture.now());
        servers().forEach(s -> s.mode(Mode.HELD));
        send(FILLING, "");
        List<Future<Integer>> suspects = send(SUSPECTS, "X-Prompt-Prefix: " + PART + ":5,e1:5\r\n");
        for (int i = 0; i < CRASHES; i++) {
            UpstreamProcess process = new UpstreamProcess(new UpstreamId("i-gone-" + i), 1);
            fixture.role().promptParts().recordCrash(parts, process, fixture.now());
        }
        ManagedEntryFixture.await(
                () ->
                        fixture.role().promptParts().verdict(parts, fixture.now())
                                == PartVerdict.TRIAL);
        servers().forEach(s -> s.mode(Mode.WHOLE));
        servers().forEach(FakeUpstream::release);
        List<Integer> statuses = new ArrayList<>();
        for (Future<Integer> suspect : suspects) {
            statuses.add(suspect.get());
        }
        long sent =
                servers()
                        .flatMap(s -> s.seen().stream())
                        .filter(s -> s.headers().containsKey("x-prompt-prefix"))
                        .count();
        assertEquals(sent, 1, "statuses " + statuses);
        assertEquals(statuses.stream().filter(s -> s == 503).count(), SUSPECTS - 1);
    }

    private Stream<FakeUpstream> servers() {
        return Stream.of(fixture.first(), fixture.second());
    }

    // Sends requests at once and returns when the entry has read them.
    private List<Future<Integer>> send(int requests, String headers) {
        long before = fixture.receivedCount();
        List<Future<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            String request =
                    fixture.caller()
                            .request("GET", "/read/" + i, "key-2")
                            .replace("Connection: close\r\n", "Connection: close\r\n" + headers);
            statuses.add(callers.submit(() -> status(request)));
        }
        ManagedEntryFixture.await(() -> fixture.receivedCount() == before + requests);
        return statuses;
    }

    private int status(String request) throws IOException {
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, request);
            return TestCaller.read(socket).status();
        }
    }
}
