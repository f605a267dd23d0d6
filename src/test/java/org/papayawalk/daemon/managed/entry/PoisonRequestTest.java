package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Sends an entry a request under which servers die, again and again. */
public final class PoisonRequestTest {
    /** Servers besides the two of the fixture. */
    private static final int EXTRA_SERVERS = 4;

    /** Times that the request is sent. */
    private static final int POISON_REQUESTS = 12;

    /** Servers that one request may take down, over all its attempts. */
    private static final int MAX_CRASHED_SERVERS = 4;

    /** All servers. */
    private final List<FakeUpstream> servers = new ArrayList<>();

    /** Stand-ins and entry. */
    private ManagedEntryFixture fixture;

    /**
     * Starts the site.
     *
     * @throws IOException if a port cannot be had
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
     * Stops the stand-ins.
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

    /** The request takes few servers down, and the others serve other requests. */
    @Test
    public void poisonRequestCrashesFewServers() {
        for (int i = 0; i < POISON_REQUESTS; i++) {
            send("/read/" + FakeUpstream.POISON);
        }
        long dead = servers.stream().filter(PoisonRequestTest::receivedPoison).count();
        assertTrue(dead <= MAX_CRASHED_SERVERS, dead + " of " + servers.size() + " servers died");
        ManagedEntryFixture.await(() -> send("/read/hello") == 200);
        assertEquals(send("/read/" + FakeUpstream.POISON), 503);
    }

    /**
     * Tells whether a server got the request.
     *
     * @param server server
     * @return true if it did
     */
    private static boolean receivedPoison(FakeUpstream server) {
        return server.seen().stream().anyMatch(s -> s.line().contains(FakeUpstream.POISON));
    }

    /**
     * Sends a request.
     *
     * @param target path
     * @return status
     */
    private int send(String target) {
        return fixture.caller().send("GET", target, "key-1").status();
    }
}
