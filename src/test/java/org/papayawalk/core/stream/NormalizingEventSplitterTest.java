package org.papayawalk.core.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link NormalizingEventSplitter}. */
public final class NormalizingEventSplitterTest {
    private NormalizingEventSplitter splitter;

    /** The events do not depend on the position at which the bytes are split. */
    @Test
    public void splitsEventsAtAnyPosition() {
        String text = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";
        for (int position = 0; position <= text.length(); position++) {
            splitter = new NormalizingEventSplitter();
            splitter.feed(bytes(text.substring(0, position)));
            splitter.feed(bytes(text.substring(position)));
            assertEquals(splitter.eventCount(), 3);
            assertTrue(splitter.isComplete());
        }
    }

    /** Lines end with LF, CR LF or CR; empty lines between events are no events. */
    @Test
    public void normalizesLineEnds() {
        for (String end : List.of("\n", "\r\n", "\r")) {
            String text = "data: a\n\n\ndata: b\ndata: c\n\ndata: [DONE]\n\n\n";
            byte[] stream = bytes(text.replace("\n", end));
            splitter = new NormalizingEventSplitter();
            StringBuilder events = new StringBuilder();
            for (byte b : stream) {
                for (byte[] e : splitter.feed(new byte[] {b})) {
                    events.append(new String(e, StandardCharsets.UTF_8)).append('|');
                }
            }
            String expected = "data: a\n\n|data: b\ndata: c\n\n|data: [DONE]\n\n|";
            assertEquals(events.toString(), expected);
            assertTrue(splitter.isComplete());
        }
    }

    /** A stream without its last event is not complete. */
    @Test
    public void isNotCompleteWithoutLastEvent() {
        splitter = new NormalizingEventSplitter();
        splitter.feed(bytes("data: a\n\n"));
        assertFalse(splitter.isComplete());
    }

    /** An incomplete event is discarded, and the next upstream sends it from its start. */
    @Test
    public void discardsPartialEvent() {
        splitter = new NormalizingEventSplitter();
        splitter.feed(bytes("data: a\n\ndata: b"));
        splitter.discardPartial();
        assertEquals(splitter.feed(bytes("data: b\n\n")).size(), 1);
        assertEquals(splitter.eventCount(), 2);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
