package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a byte stream into complete server-sent events with normalized line ends, and counts them,
 * so that a stream can be resumed at another upstream from the start of an event. Lines end with
 * LF, CR LF or CR. Empty lines between events are dropped. Not thread-safe: confined to the reading
 * thread.
 */
public final class NormalizingEventSplitter {
    /** Last event of a complete stream. */
    private static final byte[] END_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    /** Bytes of the incomplete event. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Previous byte of the incomplete event, -1 if there is none. */
    private int lastByte = -1;

    /** Whether the last byte was a CR, which an LF may follow. */
    private boolean afterReturn;

    private int eventCount;

    private boolean endEventSeen;

    /**
     * Processes the next bytes of the stream.
     *
     * @param data bytes, split at any position
     * @return events that these bytes complete, each with its final empty line; possibly none
     */
    public List<byte[]> feed(byte[] data) {
        List<byte[]> events = new ArrayList<>();
        for (byte received : data) {
            boolean sameLineEnd = received == '\n' && afterReturn;
            afterReturn = received == '\r';
            byte b = afterReturn ? (byte) '\n' : received;
            boolean betweenEvents = b == '\n' && pending.size() == 0;
            if (sameLineEnd || betweenEvents) {
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

    /**
     * Returns the length of the incomplete event.
     *
     * @return bytes since the last complete event, without CR bytes
     */
    public int partialBytes() {
        return pending.size();
    }

    /** Discards the incomplete event, for example because the upstream was lost. */
    public void discardPartial() {
        pending.reset();
        lastByte = -1;
        afterReturn = false;
    }

    /**
     * Returns whether the stream is complete.
     *
     * @return true if the last event of a complete stream was received and no incomplete event
     *     follows
     */
    public boolean isComplete() {
        return endEventSeen && pending.size() == 0;
    }

    /**
     * Returns the number of complete events, over all upstreams of the stream.
     *
     * @return number of events, 0 or more
     */
    public int eventCount() {
        return eventCount;
    }
}
