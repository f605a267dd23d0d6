package org.papayawalk.log;

import org.tinylog.Logger;

/**
 * Builder of one log line in the form {@code event=name key=value key=value}. A value that is empty
 * or contains a space, a control character, a quote or a backslash is quoted, with quotes,
 * backslashes and line breaks escaped, so that a line can be split at spaces outside quotes. Not
 * thread-safe; the underlying logger is.
 */
public final class Event {
    private final StringBuilder line;

    private Event(String name) {
        line = new StringBuilder("event=").append(name);
    }

    /**
     * Creates a line without keys.
     *
     * @param name name of the event, lower-case words separated by dashes
     * @return new line
     */
    public static Event named(String name) {
        return new Event(name);
    }

    /**
     * Appends a key and its value.
     *
     * @param key key, a single word
     * @param value value, written as its string representation, may be null
     * @return this line
     */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quoteIfNeeded(String.valueOf(value)));
        return this;
    }

    /** Writes the line at level info. */
    public void info() {
        Logger.info(line.toString());
    }

    /** Writes the line at level warn. */
    public void warn() {
        Logger.warn(line.toString());
    }

    /**
     * Writes the line at level error.
     *
     * @param cause exception whose stack trace follows the line
     */
    public void error(Throwable cause) {
        Logger.error(cause, line.toString());
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String quoteIfNeeded(String value) {
        boolean plain = !value.isEmpty();
        for (int i = 0; i < value.length() && plain; i++) {
            char c = value.charAt(i);
            plain = c > ' ' && c != '"' && c != '\\';
        }
        if (plain) {
            return value;
        }
        String escaped =
                value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
