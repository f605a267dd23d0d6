package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a caller's cut request that goes on into the next one. */
public final class CutCallerRequestTest {
    private ManagedEntryFixture fixture;

    /**
     * Starts the fakes and the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeClass
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
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

    /**
     * Requests that are cut off inside the value of a header.
     *
     * @return head up to the cut
     */
    @DataProvider
    public Object[][] cutHeads() {
        String start = "GET /read/cut HTTP/1.1\r\n";
        return new Object[][] {
            {start + "X-Trace: a"},
            {start + "Host: shop.example\r\nX-Trace: "},
            {start + "Host: shop.example\r\nX-Trace: a"},
            {start + "Host: shop.example\r\nX-Credential: key-1\r\nX-Model: m"},
        };
    }

    /**
     * No server gets the target of one request with the id of another.
     *
     * @param cutHead head up to the cut
     * @throws IOException if the connection is lost
     */
    @Test(dataProvider = "cutHeads")
    public void cutHeadIsNotContinuedByNextRequest(String cutHead) throws IOException {
        try (Socket socket = fixture.caller().connect()) {
            TestCaller.write(
                    socket, cutHead + fixture.caller().request("GET", "/read/own", "key-1"));
            int status = TestCaller.read(socket).status();
            assertEquals(targets(), List.of());
            assertTrue(status == 400, "status " + status);
        }
    }

    private List<String> targets() {
        List<String> targets =
                List.of(fixture.first(), fixture.second()).stream()
                        .flatMap(u -> u.seen().stream())
                        .map(FakeUpstream.Seen::line)
                        .filter(l -> l.contains("/read/cut"))
                        .toList();
        fixture.first().seen().clear();
        fixture.second().seen().clear();
        return targets;
    }
}
