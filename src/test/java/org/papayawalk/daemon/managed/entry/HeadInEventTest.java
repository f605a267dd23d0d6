package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against the head of a response that is forwarded as an event. */
public final class HeadInEventTest {
    private static final String HEAD = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";

    /**
     * Events and whether a head begins in them.
     *
     * @return rows
     */
    @DataProvider
    public Object[][] events() {
        return new Object[][] {
            {HEAD, true},
            {"i" + HEAD, true},
            {"id:" + HEAD, true},
            {"id: 1\n" + HEAD, true},
            {"id: 1\ndata" + HEAD, true},
            {"id: 1\ndata: a" + HEAD, true},
            {"id: 1\r\ndata: a\r\nevent: b" + HEAD, true},
            {"HTTP/1.0 204 X\r\n\r\n", true},
            {"id: 1\ndata: HTTP/1.1 500 X\ndata: Content-Length: 0\nretry: 5\n\n", false},
            {"x-weight-versions: 2\nid: 1\ndata: HTTP/1.1 200 OK\n\n", false},
            {": HTTP/1.1 200 OK\nevent: a\ndata: b\n\n", false},
            {"Content-Length: 0\nid: 1\ndata: a\n\n", false},
            {"id: 1\ndata: HTTP/1.1\nother: x\n\n", false},
        };
    }

    /**
     * Heads are told from events that quote one.
     *
     * @param event text of the event
     * @param expected whether a head begins in it
     */
    @Test(dataProvider = "events")
    public void headIsToldFromQuotation(String event, boolean expected) {
        assertEquals(HeadInEvent.isIn(event.getBytes(StandardCharsets.UTF_8)), expected);
    }
}
