package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Plays callers, servers and the store against an entry on loopback. Proves that callers get whole
 * answers to their own requests, that "not run" is true, and that a non-idempotent request runs at
 * most once.
 */
public final class ManagedEntryRoleTest {
    /** Store. */
    private FakeStore store;

    /** First server. */
    private FakeUpstream first;

    /** Second server. */
    private FakeUpstream second;

    /** Caller. */
    private TestCaller caller;

    /** Stand-ins and entry. */
    private ManagedEntryFixture fixture;

    /** Version of the desired state last written. */
    private int version = 1;

    /**
     * Starts the site.
     *
     * @throws IOException if a port cannot be had
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
        store = fixture.store();
        first = fixture.first();
        second = fixture.second();
        caller = fixture.caller();
    }

    /**
     * Stops the stand-ins.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /** Makes the servers sound, and waits until the entry has forgotten earlier failures. */
    @BeforeMethod
    public void resetServers() {
        first.mode(Mode.WHOLE);
        second.mode(Mode.WHOLE);
        int[] streak = {0};
        ManagedEntryFixture.await(
                () -> {
                    streak[0] =
                            caller.send("GET", "/read/x", "key-1").status() == 200
                                    ? streak[0] + 1
                                    : 0;
                    return streak[0] >= 6;
                });
        first.seen().clear();
        second.seen().clear();
        first.abandoned().clear();
        second.abandoned().clear();
    }

    /** The server gets the team in place of the key, and the caller the server's bytes. */
    @Test
    public void requestIsForwardedWithTeamInPlaceOfKey() {
        TestCaller.Answer answer = caller.send("POST", "/pay/x", "key-1");
        assertEquals(answer.status(), 200);
        assertTrue(answer.complete() && answer.body().equals("answer to " + caller.lastId()));
        FakeUpstream.Seen seen = seenRequests().get(0);
        assertEquals(seen.headers().get("x-tenant"), "bakers");
        assertFalse(seen.headers().containsKey("x-credential"));
        assertEquals(seen.body(), "hello");
    }

    /** An answer to another request is passed over; the caller gets its own. */
    @Test
    public void strayResponseIsSkipped() {
        setBothModes(Mode.STRAY_ANSWER);
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    caller.send("GET", "/read/x", "key-1").body(), "answer to " + caller.lastId());
        }
    }

    /** Bytes behind an answer never reach the next caller. */
    @Test
    public void extraBytesReachNoOtherCaller() {
        setBothModes(Mode.EXTRA_BYTES);
        for (int i = 0; i < 12; i++) {
            TestCaller.Answer answer = caller.send("GET", "/read/x", "key-1");
            assertTrue(
                    answer.status() != 200 || answer.body().equals("answer to " + caller.lastId()));
        }
    }

    /** A cut answer is fetched anew where that is allowed. */
    @Test
    public void truncatedResponseOfSafeRequestIsRetried() {
        first.mode(Mode.CUT);
        for (int i = 0; i < 4; i++) {
            TestCaller.Answer answer = caller.send("GET", "/read/x", "key-1");
            assertEquals(answer.status(), 200);
            assertEquals(answer.body(), "answer to " + caller.lastId());
        }
    }

    /** An answer that ends with a reset instead of a length is not whole. */
    @Test
    public void resetUnframedResponseIsIncomplete() {
        setBothModes(Mode.UNFRAMED_RESET);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
    }

    /** A non-idempotent request whose answer is lost is neither repeated nor called not run. */
    @Test
    public void lostResponseOfNonIdempotentRequestIsUnknown() {
        setBothModes(Mode.LOST_ANSWER);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
        assertEquals(seenRequests().size(), 1);
    }

    /** A request that the server did not run is refused as such, with a time to come back. */
    @Test
    public void refusalIsForwardedAsNotRun() {
        setBothModes(Mode.NOT_RUN);
        TestCaller.Answer answer = caller.send("POST", "/pay/x", "key-1");
        assertEquals(answer.status(), 503);
        assertTrue(answer.head().toLowerCase().contains("retry-after: "), answer.head());
        assertEquals(seenRequests().size(), 1);
    }

    /** A bare 503 may have run, so that the caller must not take it for a promise. */
    @Test
    public void bare503IsNotForwarded() {
        setBothModes(Mode.BARE_503);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
    }

    /** A failure of a server is repeated elsewhere if that is allowed, and passed on otherwise. */
    @Test
    public void serverErrorIsForwardedUnchanged() {
        setBothModes(Mode.ERROR);
        TestCaller.Answer pay = caller.send("POST", "/pay/x", "key-1");
        assertEquals(pay.status() + " " + pay.body(), "500 failure");
        TestCaller.Answer read = caller.send("GET", "/read/x", "key-1");
        assertEquals(read.status() + " " + read.body(), "500 failure");
        assertEquals(seenRequests().size(), 3);
    }

    /** A stream that breaks off is continued elsewhere: every event once and in order. */
    @Test
    public void brokenStreamResumesOnAnotherUpstream() {
        first.mode(Mode.CUT_STREAM);
        second.mode(Mode.STREAM);
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= FakeUpstream.EVENTS; i++) {
            expected.append("id: ").append(i).append("\ndata: part ").append(i).append("\n\n");
        }
        for (int i = 0; i < 4; i++) {
            TestCaller.Answer answer = caller.send("POST", "/advice/x", "key-1");
            assertTrue(answer.complete());
            assertEquals(answer.body(), expected.toString());
        }
    }

    /** A stream that cannot be continued does not look whole, and ends behind a whole event. */
    @Test
    public void brokenStreamDoesNotLookComplete() {
        setBothModes(Mode.CUT_STREAM);
        TestCaller.Answer answer = caller.send("POST", "/advice/x", "key-1");
        assertFalse(answer.complete());
        assertTrue(answer.body().isEmpty() || answer.body().endsWith("\n\n"), answer.body());
    }

    /** A request without an answer ends at the route's time limit, as unknown. */
    @Test
    public void silentServerTimesOutAtRouteLimit() {
        setBothModes(Mode.MUTE);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 504);
        assertEquals(seenRequests().size(), 1);
    }

    /**
     * The server learns soon that the caller has left.
     *
     * @throws IOException if the connection is lost
     */
    @Test
    public void callerDisconnectCancelsUpstreamRequest() throws IOException {
        setBothModes(Mode.MUTE);
        try (Socket socket = caller.connect()) {
            TestCaller.write(socket, caller.request("POST", "/pay/x", "key-1"));
            ManagedEntryFixture.await(() -> seenRequests().size() == 1);
        }
        ManagedEntryFixture.await(() -> first.abandoned().size() + second.abandoned().size() == 1);
    }

    /** Requests beside every route, or with an unknown key, reach no server. */
    @Test
    public void deniedRequestsReachNoServer() {
        assertEquals(caller.send("GET", "/other/x", "key-1").status(), 404);
        assertEquals(caller.send("GET", "/read/x", "key-9").status(), 401);
        assertTrue(seenRequests().isEmpty());
    }

    /** A desired state is in force soon, also when the store drops its history on the way. */
    @Test
    public void newKeyTakesEffect() {
        version++;
        store.dropHistory();
        store.put("op", "config", ManagedEntryFixture.desired(version, "key-2"));
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-2").status() == 200);
        assertEquals(caller.send("GET", "/read/x", "key-1").status(), 401);
        version++;
        store.put("op", "config", ManagedEntryFixture.desired(version, "key-1"));
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-1").status() == 200);
    }

    /** An older desired state that comes late changes nothing. */
    @Test
    public void olderDesiredStateIsIgnored() {
        store.put("op", "config", ManagedEntryFixture.desired(0, "key-old"));
        store.put("servers", "i-3", ManagedEntryFixture.entry(first, "ready"));
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-1").status() == 200);
        store.remove("servers", "i-3");
        assertEquals(caller.send("GET", "/read/x", "key-old").status(), 401);
    }

    /** A server that announces its leaving gets no new request. */
    @Test
    public void drainingServerGetsNoNewRequest() {
        store.put("servers", "i-1", ManagedEntryFixture.entry(first, "draining"));
        ManagedEntryFixture.await(
                () ->
                        caller.send("GET", "/read/x", "key-1").status() == 200
                                && receivesNothing(first, 10));
        store.put("servers", "i-1b", ManagedEntryFixture.entry(first, "ready"));
        store.remove("servers", "i-1");
    }

    /**
     * Tells whether a server is sent nothing.
     *
     * @param server server
     * @param tries requests to send
     * @return true if other servers got all of them
     */
    private boolean receivesNothing(FakeUpstream server, int tries) {
        int before = server.seen().size();
        IntStream.range(0, tries).forEach(i -> caller.send("GET", "/read/x", "key-1"));
        return server.seen().size() == before;
    }

    /**
     * Returns the requests that servers saw.
     *
     * @return requests
     */
    private List<FakeUpstream.Seen> seenRequests() {
        return Stream.of(first, second).flatMap(s -> s.seen().stream()).toList();
    }

    /**
     * Sets the mode of both servers.
     *
     * @param mode mode
     */
    private void setBothModes(Mode mode) {
        first.mode(mode);
        second.mode(mode);
    }
}
