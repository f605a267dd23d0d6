package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.papayawalk.daemon.managed.AnswerScript;
import org.papayawalk.daemon.managed.AnswerScript.End;
import org.papayawalk.daemon.managed.AnswerScript.Framing;
import org.papayawalk.daemon.managed.FakeStore;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Runs an entry on loopback with fakes for callers, servers and the store. Checks that callers get
 * complete responses to their own requests, that "not run" is stated only when it is true, and that
 * a non-idempotent request runs at most once.
 */
public final class ManagedEntryRoleTest {
    private static final String STREAM =
            IntStream.rangeClosed(1, FakeUpstream.EVENTS)
                    .mapToObj(i -> "id: " + i + "\ndata: part " + i + "\n\n")
                    .collect(Collectors.joining());

    private FakeStore store;

    private FakeUpstream first;

    private FakeUpstream second;

    private TestCaller caller;

    private ManagedEntryFixture fixture;

    /** Version of the last desired state written. */
    private int version = 1;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
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
     * Stops the fakes.
     *
     * @throws IOException if a server cannot be closed
     */
    @AfterClass
    public void stop() throws IOException {
        fixture.close();
    }

    /** Resets the servers and waits until failures of earlier tests no longer affect the entry. */
    @BeforeMethod
    public void resetServers() {
        awaitServed(first, second);
        awaitServed(second, first);
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

    // Waits until the entry uses a server again that it may have paused. While the other one fails,
    // only this one can give the answer.
    private void awaitServed(FakeUpstream server, FakeUpstream other) {
        server.mode(Mode.WHOLE);
        other.mode(Mode.ERROR);
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-1").status() == 200);
    }

    /** The server gets the team instead of the key, and the caller gets the server's bytes. */
    @Test
    public void requestIsForwardedWithTeamInPlaceOfKey() {
        TestCaller.Response response = caller.send("POST", "/pay/x", "key-1");
        assertEquals(response.status(), 200);
        assertTrue(response.complete() && response.body().equals("answer to " + caller.lastId()));
        FakeUpstream.Seen seen = seenRequests().get(0);
        assertEquals(seen.headers().get("x-tenant"), "bakers");
        assertFalse(seen.headers().containsKey("x-credential"));
        assertEquals(seen.body(), "hello");
    }

    /** A response to another request is skipped; the caller gets its own. */
    @Test
    public void strayResponseIsSkipped() {
        setBothModes(Mode.STRAY_ANSWER);
        for (int i = 0; i < 6; i++) {
            assertEquals(
                    caller.send("GET", "/read/x", "key-1").body(), "answer to " + caller.lastId());
        }
    }

    /** Bytes after a response never reach the next caller on the same upstream connection. */
    @Test
    public void extraBytesReachNoOtherCaller() {
        setBothModes(Mode.EXTRA_BYTES);
        for (int i = 0; i < 12; i++) {
            TestCaller.Response response = caller.send("GET", "/read/x", "key-1");
            assertTrue(
                    response.status() != 200
                            || response.body().equals("answer to " + caller.lastId()));
        }
    }

    /** A safe request is retried after a truncated response. */
    @Test
    public void truncatedResponseOfSafeRequestIsRetried() {
        first.mode(Mode.CUT);
        for (int i = 0; i < 4; i++) {
            TestCaller.Response response = caller.send("GET", "/read/x", "key-1");
            assertEquals(response.status(), 200);
            assertEquals(response.body(), "answer to " + caller.lastId());
        }
    }

    /** A response without a length whose connection is reset is incomplete. */
    @Test
    public void resetUnframedResponseIsIncomplete() {
        String body = "half of a body";
        play(
                new AnswerScript(Framing.NEITHER, "text/plain", body, body.length() / 2, End.RESET),
                first,
                second);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
    }

    /**
     * A non-idempotent request whose response is lost is neither retried nor reported as not run.
     */
    @Test
    public void lostResponseOfNonIdempotentRequestIsUnknown() {
        setBothModes(Mode.LOST_ANSWER);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
        assertEquals(seenRequests().size(), 1);
    }

    /** A request that the server did not run is refused with a Retry-After delay. */
    @Test
    public void refusalIsForwardedAsNotRun() {
        setBothModes(Mode.NOT_RUN);
        TestCaller.Response response = caller.send("POST", "/pay/x", "key-1");
        assertEquals(response.status(), 503);
        assertTrue(response.head().toLowerCase().contains("retry-after: "), response.head());
        assertEquals(seenRequests().size(), 1);
    }

    /**
     * A request answered with a bare 503 may have run, so callers must not read the status as "not
     * run".
     */
    @Test
    public void bare503IsNotForwarded() {
        setBothModes(Mode.BARE_503);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 502);
    }

    /**
     * A server error is forwarded unchanged; a retryable request is sent to another server first.
     */
    @Test
    public void serverErrorIsForwardedUnchanged() {
        setBothModes(Mode.ERROR);
        TestCaller.Response pay = caller.send("POST", "/pay/x", "key-1");
        assertEquals(pay.status() + " " + pay.body(), "500 failure");
        TestCaller.Response read = caller.send("GET", "/read/x", "key-1");
        assertEquals(read.status() + " " + read.body(), "500 failure");
        assertEquals(seenRequests().size(), 3);
    }

    /** A broken stream resumes on another server: the caller gets each event once and in order. */
    @Test
    public void brokenStreamResumesOnAnotherUpstream() {
        play(cutStream(), first);
        second.mode(Mode.STREAM);
        for (int i = 0; i < 4; i++) {
            TestCaller.Response response = caller.send("POST", "/advice/x", "key-1");
            assertTrue(response.complete());
            assertEquals(response.body(), STREAM);
        }
    }

    /**
     * A stream that cannot be resumed looks incomplete to the caller and ends after a complete
     * event.
     */
    @Test
    public void brokenStreamDoesNotLookComplete() {
        play(cutStream(), first, second);
        TestCaller.Response response = caller.send("POST", "/advice/x", "key-1");
        assertFalse(response.complete());
        assertTrue(response.body().isEmpty() || response.body().endsWith("\n\n"), response.body());
    }

    /** A request without a response ends at the timeout of its route with an unknown outcome. */
    @Test
    public void silentServerTimesOutAtRouteLimit() {
        setBothModes(Mode.MUTE);
        assertEquals(caller.send("POST", "/pay/x", "key-1").status(), 504);
        assertEquals(seenRequests().size(), 1);
    }

    /**
     * The upstream request is cancelled when the caller disconnects.
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

    /** Requests that match no route or have an unknown key reach no server. */
    @Test
    public void deniedRequestsReachNoServer() {
        assertEquals(caller.send("GET", "/other/x", "key-1").status(), 404);
        assertEquals(caller.send("GET", "/read/x", "key-9").status(), 401);
        assertTrue(seenRequests().isEmpty());
    }

    /** A new desired state takes effect, even if the store drops its change history in between. */
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

    /** An older desired state that arrives late is ignored. */
    @Test
    public void olderDesiredStateIsIgnored() {
        store.put("op", "config", ManagedEntryFixture.desired(0, "key-old"));
        store.put("servers", "i-3", ManagedEntryFixture.entry(first, "ready"));
        ManagedEntryFixture.await(() -> caller.send("GET", "/read/x", "key-1").status() == 200);
        store.remove("servers", "i-3");
        assertEquals(caller.send("GET", "/read/x", "key-old").status(), 401);
    }

    /** A server that reports that it is draining gets no new request. */
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

    // Returns whether none of the given number of requests reaches the server.
    private boolean receivesNothing(FakeUpstream server, int tries) {
        int before = server.seen().size();
        IntStream.range(0, tries).forEach(i -> caller.send("GET", "/read/x", "key-1"));
        return server.seen().size() == before;
    }

    private List<FakeUpstream.Seen> seenRequests() {
        return Stream.of(first, second).flatMap(s -> s.seen().stream()).toList();
    }

    private static AnswerScript cutStream() {
        int inside = STREAM.indexOf("data: part 4") + 3;
        return AnswerScript.cutStream(Framing.CHUNKS, STREAM, inside, End.CLOSE);
    }

    private static void play(AnswerScript script, FakeUpstream... servers) {
        for (FakeUpstream s : servers) {
            s.script(script, new AtomicInteger(Integer.MAX_VALUE), Mode.WHOLE);
        }
    }

    private void setBothModes(Mode mode) {
        first.mode(mode);
        second.mode(mode);
    }
}
