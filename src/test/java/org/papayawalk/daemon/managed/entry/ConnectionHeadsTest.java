package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import org.papayawalk.core.limit.HeaderLines;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Adds lines to the headers of a connection, and gives them back. */
public final class ConnectionHeadsTest {
    private static final int MAX_LINES = 100;

    private HeaderLines lines;

    private ConnectionHeads heads;

    /** Creates the heads of a connection. */
    @BeforeMethod
    public void start() {
        lines = new HeaderLines(MAX_LINES);
        heads = new ConnectionHeads(lines);
    }

    /** Ordinary heads hold no room, and nothing is kept of them. */
    @Test
    public void ordinaryHeadsHoldNothing() {
        for (int i = 0; i < 1000; i++) {
            add(heads.headers().newHeaders(), HeaderLines.FREE_LINES);
        }
        assertEquals(lines.heldLines(), 0);
        assertEquals(heads.holdingCount(), 0);
    }

    /** Further lines hold room until they are released, once. */
    @Test
    public void furtherLinesHoldRoom() {
        CountedHeaders headers = (CountedHeaders) heads.headers().newHeaders();
        add(headers, HeaderLines.FREE_LINES + 10);
        assertEquals(lines.heldLines(), 10);
        headers.release();
        headers.release();
        assertEquals(lines.heldLines(), 0);
        assertEquals(heads.holdingCount(), 0);
    }

    /** Headers that find no room give back what they had, and others may go on. */
    @Test
    public void headersWithoutRoomGiveBack() {
        HttpHeaders headers = heads.headers().newHeaders();
        assertThrows(
                CountedHeaders.NoMemoryException.class,
                () -> add(headers, HeaderLines.FREE_LINES + MAX_LINES + 1));
        assertEquals(lines.heldLines(), 0);
        add(heads.trailers().newHeaders(), HeaderLines.FREE_LINES + MAX_LINES);
        assertEquals(lines.heldLines(), MAX_LINES);
    }

    /** A connection that closes gives the room of all its heads back. */
    @Test
    public void closedConnectionGivesBack() {
        for (int i = 0; i < 3; i++) {
            add(heads.headers().newHeaders(), HeaderLines.FREE_LINES + 5);
        }
        assertTrue(lines.heldLines() > 0);
        heads.release();
        assertEquals(lines.heldLines(), 0);
        assertEquals(heads.holdingCount(), 0);
    }

    private static void add(HttpHeaders headers, int count) {
        for (int i = 0; i < count; i++) {
            headers.add("a" + i, "");
        }
    }
}
