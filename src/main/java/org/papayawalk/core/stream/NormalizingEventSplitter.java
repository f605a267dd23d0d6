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
    private static final byte[] END = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** Bytes of the event under way. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Last byte taken. */
    private int last = -1;

    /** Events cut so far. */
    private int count;

    /** Whether the event that ends a whole stream was cut. */
    private boolean ended;

    /**
     * Takes bytes.
     *
     * @param data next bytes of the stream
     * @return whole events, each with its final blank line
     */
    public List<byte[]> take(byte[] data) {
        List<byte[]> events = new ArrayList<>();
        for (byte b : data) {
            if (b == '\r') {
                continue;
            }
            pending.write(b);
            if (b == '\n' && last == '\n') {
                byte[] event = pending.toByteArray();
                ended |= Arrays.equals(event, END);
                events.add(event);
                pending.reset();
                count++;
                last = -1;
            } else {
                last = b;
            }
        }
        return events;
    }

    /** Drops the event under way, because its source was lost. */
    public void discardPartial() {
        pending.reset();
        last = -1;
    }

    /**
     * Tells whether the stream is whole.
     *
     * @return true if its last event was the one that ends a stream
     */
    public boolean ended() {
        return ended && pending.size() == 0;
    }

    /**
     * Returns the number of whole events cut so far.
     *
     * @return 0 or more
     */
    public int count() {
        return count;
    }
}
