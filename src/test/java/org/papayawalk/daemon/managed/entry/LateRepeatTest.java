package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.SlowLink;
import org.papayawalk.support.Await;
import org.testng.annotations.Test;

/** A repeat over a slow link would reach its upstream after the caller has left. */
public final class LateRepeatTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private static final long SLOW_MILLIS = 900;

    /** Longer than a silent upstream is waited for, shorter than that and the slow link. */
    private static final int CALLER_TIMEOUT_MILLIS = 1700;

    private static final String REMOTE =
            """
            {"service":"desk","address":"%s","zone":"visayas-a","slots":4,"state":"%s","born":1}
            """;

    /**
     * Only the remote upstream, behind the slow link, is left for a repeat when the near one stays
     * silent.
     *
     * @throws IOException if a port cannot be bound
     */
    @Test
    public void repeatThatWouldArriveAfterTheDeadlineIsNotSent() throws IOException {
        try (ManagedEntryFixture entry = new ManagedEntryFixture();
                FakeUpstream remote = new FakeUpstream(Mode.WHOLE);
                SlowLink link = new SlowLink(remote.address())) {
            link.delayThere(SLOW_MILLIS);
            entry.store().put("servers", "i-3", REMOTE.formatted(link.address(), "ready"));
            String leaving = ManagedEntryFixture.entry(entry.second(), "draining");
            entry.store().put("servers", "i-2", leaving);
            ManagedEntryFixture.await(() -> !entry.knowsUsable("i-2"));
            setNear(entry, "draining", 1);
            assertEquals(send(entry, "/read/measured", ""), 200);

            entry.first().mode(Mode.MUTE);
            setNear(entry, "ready", 2);
            int status = send(entry, "/read/late", "X-Deadline-Ms: " + CALLER_TIMEOUT_MILLIS);
            assertEquals(status, 504);

            // A later request that arrives shows that an earlier one would have arrived.
            setNear(entry, "draining", 2);
            assertEquals(send(entry, "/read/after", ""), 200);
            List<String> paths = remote.seen().stream().map(s -> s.line().split(" ")[1]).toList();
            assertEquals(paths, List.of("/read/measured", "/read/after"));
        }
    }

    // A process that leaves never takes requests again, so a later one needs another start.
    private static void setNear(ManagedEntryFixture entry, String state, long born) {
        entry.store().put("servers", "i-1", ManagedEntryFixture.entry(entry.first(), state, born));
        boolean present = state.equals("ready");
        Await.within(TIMEOUT_MILLIS, () -> entry.knowsUsable("i-1") == present);
    }

    private static int send(ManagedEntryFixture entry, String target, String header)
            throws IOException {
        try (Socket socket = entry.caller().connect()) {
            String request = entry.caller().request("GET", target, "key-1");
            String extra = header.isEmpty() ? "" : "\r\n" + header;
            TestCaller.write(socket, request.replace("\r\nConnection", extra + "\r\nConnection"));
            return TestCaller.read(socket).status();
        }
    }
}
