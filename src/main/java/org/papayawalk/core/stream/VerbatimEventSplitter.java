package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Splits a byte stream into complete server-sent events without changing a byte, so that a caller
 * receives complete events only, even if the upstream fails in the middle of one. An event ends
 * with an empty line, as {@link EventBoundary} tells. Not thread-safe: confined to the reading
 * thread.
 */
public final class VerbatimEventSplitter {
    private static final String ID_FIELD = "id:";

    private static final String DATA_FIELD = "data";

    private static final String DATA_PREFIX = "data:";

    /** Bytes of the incomplete event. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    private final EventBoundary boundary = new EventBoundary();

    /**
     * Complete event. Immutable by convention: the array is not modified after construction.
     *
     * @param bytes bytes of the event, including the empty line that ends it
     * @param id value of the first id field, empty if there is none or if it is not a number
     */
    public record Event(byte[] bytes, OptionalLong id) {
        /**
         * Returns whether it has data. A block without data, such as a comment, is no event to its
         * reader.
         *
         * @return true if a line is a data field
         */
        public boolean hasData() {
            return lines(bytes).anyMatch(l -> l.equals(DATA_FIELD) || l.startsWith(DATA_PREFIX));
        }
    }

    /**
     * Processes the next bytes of the stream.
     *
     * @param data bytes, split at any position
     * @return events that these bytes complete, possibly none
     */
    public List<Event> feed(byte[] data) {
        List<Event> events = new ArrayList<>();
        for (byte b : data) {
            if (boundary.endsBefore(b)) {
                events.add(takeEvent());
            }
            pending.write(b);
            if (boundary.endsWith(b)) {
                events.add(takeEvent());
            }
        }
        return events;
    }

    /**
     * Removes and returns the bytes of the incomplete event.
     *
     * @return bytes since the last complete event, possibly none
     */
    public byte[] takePartial() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        boundary.discardPartial();
        return bytes;
    }

    /**
     * Returns whether the bytes so far end inside an event.
     *
     * @return true if an event has begun and is incomplete
     */
    public boolean isInsideEvent() {
        return boundary.isInsideEvent();
    }

    /**
     * Returns whether an event was complete.
     *
     * @return true after the first complete event
     */
    public boolean eventSeen() {
        return boundary.eventSeen();
    }

    /**
     * Returns the length of the incomplete event.
     *
     * @return bytes since the last complete event
     */
    public int partialBytes() {
        return pending.size();
    }

    private Event takeEvent() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        return new Event(bytes, parseId(bytes));
    }

    private static OptionalLong parseId(byte[] event) {
        Optional<String> value =
                lines(event)
                        .filter(l -> l.startsWith(ID_FIELD))
                        .findFirst()
                        .map(l -> l.substring(ID_FIELD.length()).strip());
        return value.filter(v -> v.matches("[0-9]{1,18}")).isPresent()
                ? OptionalLong.of(Long.parseLong(value.get()))
                : OptionalLong.empty();
    }

    private static Stream<String> lines(byte[] event) {
        return new String(event, StandardCharsets.UTF_8).lines();
    }
}
