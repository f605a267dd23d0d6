package org.papayawalk.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests {@link NormalizingEventSplitter}. */
public final class NormalizingEventSplitterTest {
    /** Splitter under test. */
    private NormalizingEventSplitter splitter;

    /** Cuts events wherever the bytes are parted. */
    @Test
    public void cutsEventsWhereverBytesArePart() {
        String text = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";
        for (int cut = 0; cut <= text.length(); cut++) {
            splitter = new NormalizingEventSplitter();
            splitter.feed(bytes(text.substring(0, cut)));
            splitter.feed(bytes(text.substring(cut)));
            assertEquals(splitter.eventCount(), 3);
            assertTrue(splitter.isComplete());
        }
    }

    /** A stream without its last event is not whole. */
    @Test
    public void isNotEndedWithoutLastEvent() {
        splitter = new NormalizingEventSplitter();
        splitter.feed(bytes("data: a\n\n"));
        assertFalse(splitter.isComplete());
    }

    /** A partial event is dropped when its source is lost. */
    @Test
    public void dropsPartialEvent() {
        splitter = new NormalizingEventSplitter();
        splitter.feed(bytes("data: a\n\ndata: b"));
        splitter.discardPartial();
        assertEquals(splitter.feed(bytes("data: b\n\n")).size(), 1);
        assertEquals(splitter.eventCount(), 2);
    }

    /**
     * Encodes a text.
     *
     * @param text text
     * @return UTF-8 bytes
     */
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
