package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Poison;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Sends two entries requests that share one part of their prompts and are otherwise all different.
 * The part crashes each server that begins to answer. Evidence kept by request takes down every
 * server; evidence kept by caller or by other parts refuses sound requests.
 */
public final class PoisonPartTest {
    /** Servers besides the two of the fixture. */
    private static final int EXTRA_SERVERS = 14;

    private static final int POISON_REQUESTS = 24;

    /** Crashes after which the part counts as known, and requests that may still get through. */
    private static final int MAX_CRASHED_SERVERS = 5 + 3;

    private static final String FIRST_PART = "a0a0:40";

    private static final String COMPANION_PART = "c0c0:300";

    private final List<FakeUpstream> servers = new ArrayList<>();

    private ManagedEntryFixture fixture;

    private TestCaller secondEntry;

    /** Requests sent so far, each with a last part of its own. */
    private int requestCount;

    /**
     * Starts the fakes and two entries, and waits until every server has received a request.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        secondEntry = fixture.addEntry();
        servers.add(fixture.first());
        servers.add(fixture.second());
        for (int i = 0; i < EXTRA_SERVERS; i++) {
            FakeUpstream server = new FakeUpstream(Mode.DIES_OF_POISON);
            servers.add(server);
            fixture.store()
                    .put("servers", "i-more-" + i, ManagedEntryFixture.entry(server, "ready"));
        }
        servers.forEach(s -> s.mode(Mode.DIES_OF_POISON));
        for (TestCaller caller : List.of(fixture.caller(), secondEntry)) {
            servers.forEach(s -> s.seen().clear());
            ManagedEntryFixture.await(
                    () -> {
                        send(caller, FIRST_PART);
                        return servers.stream().noneMatch(s -> s.seen().isEmpty());
                    });
        }
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        for (FakeUpstream s : servers) {
            s.close();
        }
        fixture.close();
    }

    /** Requests with the part crash few servers; requests without it are served throughout. */
    @Test
    public void partThatCrashesServersIsRefusedAndOtherRequestsAreServed() {
        String poison = FIRST_PART + "," + Poison.PROMPT_PART + ":700," + COMPANION_PART;
        for (int i = 0; i < POISON_REQUESTS; i++) {
            send(i % 2 == 0 ? fixture.caller() : secondEntry, poison);
        }
        String sound = FIRST_PART + "," + COMPANION_PART;
        for (TestCaller caller : List.of(fixture.caller(), secondEntry)) {
            ManagedEntryFixture.await(() -> send(caller, sound) == 200);
            // Refused at the latest when the entries have told each other of the crashes.
            ManagedEntryFixture.await(() -> send(caller, poison) == 503);
            assertEquals(send(caller, sound), 200);
        }
        long crashed = servers.stream().filter(PoisonPartTest::receivedPoison).count();
        assertTrue(
                crashed <= MAX_CRASHED_SERVERS,
                crashed + " of " + servers.size() + " servers crashed");
    }

    private static boolean receivedPoison(FakeUpstream server) {
        return server.seen().stream().anyMatch(Poison::inPrompt);
    }

    // Returns the status of the response.
    private int send(TestCaller caller, String sharedParts) {
        requestCount++;
        String prompt = "X-Prompt-Prefix: %s,e%x:9\r\n".formatted(sharedParts, requestCount);
        String request =
                caller.request("POST", "/advice/" + requestCount, "key-1")
                        .replace("Connection: close\r\n", "Connection: close\r\n" + prompt);
        try (Socket socket = caller.connect()) {
            TestCaller.write(socket, request);
            return TestCaller.read(socket).status();
        } catch (IOException e) {
            throw new AssertionError("no response from the entry", e);
        }
    }
}
