package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Poison;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Sends an entry a poison request, one that crashes the server that runs it, repeatedly. Without
 * the limit on crashes, retries would take down every server.
 */
public final class PoisonRequestTest {
    /** Servers besides the two of the fixture. */
    private static final int EXTRA_SERVERS = 4;

    private static final int POISON_REQUESTS = 12;

    /** Upper bound on the servers that the poison request may crash, over all its attempts. */
    private static final int MAX_CRASHED_SERVERS = 4;

    private final List<FakeUpstream> servers = new ArrayList<>();

    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry, and waits until every server has received a request.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        servers.add(fixture.first());
        servers.add(fixture.second());
        for (int i = 0; i < EXTRA_SERVERS; i++) {
            FakeUpstream server = new FakeUpstream(Mode.DIES_OF_POISON);
            servers.add(server);
            fixture.store()
                    .put("servers", "i-more-" + i, ManagedEntryFixture.entry(server, "ready"));
        }
        servers.forEach(s -> s.mode(Mode.DIES_OF_POISON));
        ManagedEntryFixture.await(
                () -> {
                    send("/read/hello");
                    return servers.stream().noneMatch(s -> s.seen().isEmpty());
                });
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

    /**
     * The poison request crashes few servers and is then refused; the other servers serve other
     * requests.
     */
    @Test
    public void poisonRequestCrashesFewServers() {
        for (int i = 0; i < POISON_REQUESTS; i++) {
            send("/read/" + Poison.PATH);
        }
        long crashed = servers.stream().filter(PoisonRequestTest::receivedPoison).count();
        assertTrue(
                crashed <= MAX_CRASHED_SERVERS,
                crashed + " of " + servers.size() + " servers crashed");
        ManagedEntryFixture.await(() -> send("/read/hello") == 200);
        assertEquals(send("/read/" + Poison.PATH), 503);
    }

    private static boolean receivedPoison(FakeUpstream server) {
        return server.seen().stream().anyMatch(s -> s.line().contains(Poison.PATH));
    }

    private int send(String target) {
        return fixture.caller().send("GET", target, "key-1").status();
    }
}
