package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a byte stream into whole server-sent events, so that a stream that is resumed elsewhere is
 * continued at the start of an event. Not thread-safe: confined to the thread that reads.
 */
public final class EventSplitter {
    /** Bytes of the event under way. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Last byte taken. */
    private int last = -1;

    /** Events cut so far. */
    private int count;

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
                events.add(pending.toByteArray());
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
     * Tells whether an event is under way.
     *
     * @return true if bytes came after the last whole event
     */
    public boolean hasPartial() {
        return pending.size() > 0;
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
