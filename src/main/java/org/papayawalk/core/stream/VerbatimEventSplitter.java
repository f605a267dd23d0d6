package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts a byte stream into whole server-sent events and leaves every byte as it is, so that a caller
 * gets whole events only, whatever happens to the upstream in the middle of one. Not thread-safe:
 * confined to the thread that reads.
 */
public final class VerbatimEventSplitter {
    /** Start of the line that numbers an event. */
    private static final String ID_FIELD = "id:";

    /** Bytes of the event under way. */
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    /** Whether the line under way has no character yet. */
    private boolean lineEmpty = true;

    /** Whether the event under way has a line with characters. */
    private boolean hasContent;

    /**
     * One whole event. Immutable by agreement: the bytes are not changed.
     *
     * @param bytes bytes with the blank line that ends the event
     * @param id number of the event, empty if it has none
     */
    public record Event(byte[] bytes, OptionalLong id) {}

    /**
     * Takes bytes.
     *
     * @param data next bytes of the stream
     * @return events that are whole now
     */
    public List<Event> feed(byte[] data) {
        List<Event> events = new ArrayList<>();
        for (byte b : data) {
            pending.write(b);
            if (b == '\r') {
                continue;
            }
            if (b != '\n') {
                lineEmpty = false;
                hasContent = true;
                continue;
            }
            if (lineEmpty && hasContent) {
                byte[] bytes = takePartial();
                events.add(new Event(bytes, parseId(bytes)));
            }
            lineEmpty = true;
        }
        return events;
    }

    /**
     * Takes the bytes of the event under way out.
     *
     * @return bytes since the last whole event
     */
    public byte[] takePartial() {
        byte[] bytes = pending.toByteArray();
        pending.reset();
        lineEmpty = true;
        hasContent = false;
        return bytes;
    }

    /**
     * Finds the number of an event.
     *
     * @param event bytes of the event
     * @return number, empty if there is none
     */
    private static OptionalLong parseId(byte[] event) {
        String text = new String(event, StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                String value = line.substring(ID_FIELD.length()).strip();
                return value.matches("[0-9]{1,18}")
                        ? OptionalLong.of(Long.parseLong(value))
                        : OptionalLong.empty();
            }
        }
        return OptionalLong.empty();
    }
}
