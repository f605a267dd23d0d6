package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Locale;
import java.util.stream.Stream;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Sends requests through an entry to an upstream in its own region and to one in another, while
 * homes bind them and failure domains are evacuated.
 */
public final class PlacesTest {
    private static final int REQUESTS = 30;

    private ManagedEntryFixture fixture;

    /**
     * Starts the entry and puts the second upstream into another failure domain and region.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        fixture.store().put("servers", "i-2", farEntry(fixture.second()));
        ManagedEntryFixture.await(() -> fixture.knowsUsable("i-2", "visayas-a"));
    }

    /**
     * Stops the fakes.
     *
     * @throws IOException if one cannot be closed
     */
    @AfterMethod
    public void stop() throws IOException {
        fixture.close();
    }

    /** Requests whose route has homes stay in these. */
    @Test
    public void requestsStayInTheHomesOfTheirRoute() {
        putHomes(2, "\"name\":\"read\"", "visayas-a");
        send();
        assertEquals(fixture.first().seen().size(), 0);
        assertEquals(fixture.second().seen().size(), REQUESTS);
        putHomes(3, "\"name\":\"read\"", "luzon");
        send();
        assertEquals(fixture.second().seen().size(), 0);
    }

    /** Requests whose team has homes stay in these. */
    @Test
    public void requestsStayInTheHomesOfTheirTeam() {
        putHomes(2, "\"name\":\"bakers\"", "luzon");
        send();
        assertEquals(fixture.second().seen().size(), 0);
    }

    /** While the servers of the homes are gone, a request is refused at once and has not run. */
    @Test
    public void requestIsRefusedWhileItsHomesHaveNoServer() {
        putHomes(2, "\"name\":\"read\"", "luzon");
        fixture.store().remove("servers", "i-1");
        ManagedEntryFixture.await(() -> !fixture.knowsUsable("i-1"));
        assertRefused(read("key-1"));
        assertEquals(fixture.second().seen().size(), 0);
        fixture.store().put("servers", "i-1", ManagedEntryFixture.entry(fixture.first(), "ready"));
        sendUntilSeen(fixture.first());
        assertEquals(fixture.second().seen().size(), 0);
    }

    /** A region that nobody knows keeps a desired state from nothing but the requests it binds. */
    @Test
    public void unknownHomeConcernsItsRouteOnly() {
        putHomes(2, "\"name\":\"read\"", "atlantis");
        assertRefused(read("key-1"));
        assertEquals(fixture.caller().send("POST", "/pay/x", "key-1").status(), 200);
    }

    /** An evacuated failure domain gets no request until it is taken back. */
    @Test
    public void evacuatedDomainGetsNoRequest() {
        fixture.store().put("op", "evacuate/luzon-a", "{}");
        awaitQuiet(fixture.first());
        send();
        assertEquals(fixture.first().seen().size(), 0);
        fixture.store().remove("op", "evacuate/luzon-a");
        sendUntilSeen(fixture.first());
    }

    /**
     * What runs in a failure domain when it is evacuated ends there, and comes to its caller.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void requestThatRunsInAnEvacuatedDomainEndsThere() throws IOException {
        fixture.first().mode(Mode.HELD);
        fixture.second().mode(Mode.HELD);
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(socket, fixture.caller().request("POST", "/order/x", "key-1"));
            ManagedEntryFixture.await(() -> ordersSeen() == 1);
            fixture.first().mode(Mode.WHOLE);
            fixture.second().mode(Mode.WHOLE);
            fixture.store().put("op", "evacuate/luzon-a", "{}");
            fixture.store().put("op", "evacuate/visayas-a", "{}");
            ManagedEntryFixture.await(() -> read("key-1").status() == 503);
            fixture.first().release();
            fixture.second().release();
            assertEquals(TestCaller.read(socket).status(), 200);
        }
        assertEquals(ordersSeen(), 1);
    }

    /** A row with an odd name of a failure domain stops nothing. */
    @Test
    public void oddEvacuationStopsNothing() {
        fixture.store().put("op", "evacuate/", "{}");
        fixture.store().put("op", "evacuate/two words", "7");
        fixture.store().put("op", "evacuate/luzon-a", "no JSON");
        awaitQuiet(fixture.first());
        send();
        assertEquals(fixture.first().seen().size(), 0);
        assertTrue(fixture.second().seen().size() > 0);
    }

    private long ordersSeen() {
        return Stream.of(fixture.first(), fixture.second())
                .flatMap(u -> u.seen().stream())
                .filter(r -> r.line().contains("/order/"))
                .count();
    }

    private TestCaller.Response read(String key) {
        return fixture.caller().send("GET", "/read/x", key);
    }

    private static void assertRefused(TestCaller.Response answer) {
        assertEquals(answer.status(), 503);
        String head = answer.head().toLowerCase(Locale.ROOT);
        assertTrue(head.contains("retry-after"), head);
        assertFalse(head.contains("x-server-stamp"), head);
    }

    // Waits until new requests reach the other upstream only, and forgets those before.
    private void awaitQuiet(FakeUpstream upstream) {
        ManagedEntryFixture.await(
                () -> {
                    upstream.seen().clear();
                    send();
                    return upstream.seen().isEmpty();
                });
        fixture.second().seen().clear();
    }

    private void sendUntilSeen(FakeUpstream upstream) {
        upstream.seen().clear();
        ManagedEntryFixture.await(
                () -> {
                    read("key-1");
                    return !upstream.seen().isEmpty();
                });
        fixture.first().seen().clear();
        fixture.second().seen().clear();
    }

    private void send() {
        for (int i = 0; i < REQUESTS; i++) {
            read("key-1");
        }
    }

    // Puts a desired state with homes behind the text, and waits until it is in force.
    private void putHomes(int version, String behind, String region) {
        String key = "key-" + version;
        String text = ManagedEntryFixture.desired(version, "key-1\",\"" + key);
        String homes = behind + ",\"allowedRegions\":[\"" + region + "\"]";
        fixture.store().put("op", "config", text.replace(behind, homes));
        ManagedEntryFixture.await(() -> read(key).status() != 401);
        fixture.first().seen().clear();
        fixture.second().seen().clear();
    }

    private static String farEntry(FakeUpstream server) {
        return ManagedEntryFixture.entry(server, "ready").replace("luzon-a", "visayas-a");
    }
}
