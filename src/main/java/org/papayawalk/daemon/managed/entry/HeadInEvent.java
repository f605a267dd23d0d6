package org.papayawalk.daemon.managed.entry;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Recognizes events in which the head of a response begins. An upstream that breaks off its stream
 * and answers on the same connection makes such events, as the empty line after its head ends them.
 * Events that quote a head have it in their data or in a comment. Stateless; thread-safe.
 */
final class HeadInEvent {
    /** What every status line begins with; a cheap test that the pattern can be left out. */
    private static final String PROTOCOL = "HTTP/";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9][.][0-9] [0-9]{3}");

    /** Names of the fields of events. */
    private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry");

    private static final String DATA_FIELD = "data";

    /** Name of a comment in a line that has one. */
    private static final String COMMENT = "";

    private HeadInEvent() {}

    /**
     * Returns whether a head begins in an event.
     *
     * @param event bytes of the event
     * @return true if a status line stands outside of data and comments, or lines that are no
     *     fields of an event follow it
     */
    static boolean isIn(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        return text.contains(PROTOCOL) && hasHead(text);
    }

    private static boolean hasHead(String text) {
        boolean afterStatusLine = false;
        for (String line : text.lines().filter(l -> !l.isEmpty()).toList()) {
            String field = line.split(":", 2)[0];
            boolean quotes = field.equals(DATA_FIELD) || field.equals(COMMENT);
            boolean ofEvent = quotes || FIELDS.contains(field);
            boolean statusLine = STATUS_LINE.matcher(line).find();
            if ((statusLine && !quotes) || (afterStatusLine && !ofEvent)) {
                return true;
            }
            afterStatusLine |= statusLine;
        }
        return false;
    }
}
