package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.papayawalk.daemon.managed.FakeUpstream;
import org.papayawalk.daemon.managed.FakeUpstream.Mode;
import org.papayawalk.daemon.managed.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Upstreams answer with a status that HTTP does not have. */
public final class OddStatusTest {
    private ManagedEntryFixture fixture;

    /**
     * Starts the entry.
     *
     * @throws IOException if a port cannot be bound
     */
    @BeforeMethod
    public void start() throws IOException {
        fixture = new ManagedEntryFixture();
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

    /**
     * Returns texts in the place of a status.
     *
     * @return rows of one text
     */
    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {
            {"000"}, {"0"}, {"099"}, {"20"}, {"600"}, {"999"}, {"0200"}, {"2000"}, {"+20"}, {"2OO"},
        };
    }

    /**
     * A request that may run once ends with a status of HTTP that promises nothing.
     *
     * @param status text in the place of the status
     */
    @Test(dataProvider = "statuses")
    public void oddStatusReachesNoCaller(String status) {
        play(status, Integer.MAX_VALUE);
        for (String path : new String[] {"/pay/x", "/advice/x"}) {
            assertEquals(fixture.caller().send("POST", path, "key-1").status(), 502, path);
        }
        assertEquals(seen(), 3, "one attempt of the first, two of the second");
    }

    /** A request that may be repeated is answered by the next upstream. */
    @Test
    public void repeatableRequestGoesElsewhere() {
        play("000", 1);
        TestCaller.Response response = fixture.caller().send("GET", "/read/x", "key-1");
        assertEquals(response.status(), 200);
        assertTrue(response.body().startsWith("answer to"), response.body());
    }

    private long seen() {
        return Stream.of(fixture.first(), fixture.second()).mapToLong(u -> u.seen().size()).sum();
    }

    private void play(String status, int answers) {
        Script script =
                (socket, id, headers) -> {
                    String head =
                            "HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\n%sContent-Length: 3\r\n\r\nodd";
                    socket.getOutputStream()
                            .write(
                                    head.formatted(status, id, headers)
                                            .getBytes(StandardCharsets.ISO_8859_1));
                };
        AtomicInteger left = new AtomicInteger(answers);
        for (FakeUpstream u : new FakeUpstream[] {fixture.first(), fixture.second()}) {
            u.script(script, left, Mode.WHOLE);
            u.mode(Mode.SCRIPT);
        }
    }
}
