package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts a byte stream into whole server-sent events, so that a stream that is resumed elsewhere is
 * continued at the start of an event. Not thread-safe: confined to the thread that reads.
 */
public final class NormalizingEventSplitter {
    /** Event that ends a whole stream. */
    private static final byte[] END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** Bytes of the event under way. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Last byte taken. */
    private int lastByte = -1;

    /** Events cut so far. */
    private int eventCount;

    /** Whether the event that ends a whole stream was cut. */
    private boolean endEventSeen;

    /**
     * Takes bytes.
     *
     * @param data next bytes of the stream
     * @return whole events, each with its final blank line
     */
    public List<byte[]> feed(byte[] data) {
        List<byte[]> events = new ArrayList<>();
        for (byte b : data) {
            if (b == '\r') {
                continue;
            }
            pending.write(b);
            if (b == '\n' && lastByte == '\n') {
                byte[] event = pending.toByteArray();
                endEventSeen |= Arrays.equals(event, END_EVENT);
                events.add(event);
                pending.reset();
                eventCount++;
                lastByte = -1;
            } else {
                lastByte = b;
            }
        }
        return events;
    }

    /** Drops the event under way, because its source was lost. */
    public void discardPartial() {
        pending.reset();
        lastByte = -1;
    }

    /**
     * Tells whether the stream is whole.
     *
     * @return true if its last event was the one that ends a stream
     */
    public boolean isComplete() {
        return endEventSeen && pending.size() == 0;
    }

    /**
     * Returns the number of whole events cut so far.
     *
     * @return 0 or more
     */
    public int eventCount() {
        return eventCount;
    }
}
