package org.papayawalk.log;

import org.tinylog.Logger;

/**
 * One log line under construction. Values with blanks, quotes or line breaks are quoted, so a line
 * can be split at blanks outside quotes. Not thread-safe; the logger behind it is.
 */
public final class Event {
    /** Text of the line so far. */
    private final StringBuilder line;

    /**
     * Starts a line.
     *
     * @param name name of the event, lower-case words with dashes
     */
    private Event(String name) {
        line = new StringBuilder("event=").append(name);
    }

    /**
     * Starts a line.
     *
     * @param name name of the event, lower-case words with dashes
     * @return the line
     */
    public static Event named(String name) {
        return new Event(name);
    }

    /**
     * Adds a pair.
     *
     * @param key key, a word
     * @param value value, may be null
     * @return this line
     */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quoted(String.valueOf(value)));
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
     * @param cause exception whose stack trace is added
     */
    public void error(Throwable cause) {
        Logger.error(cause, line.toString());
    }

    @Override
    public String toString() {
        return line.toString();
    }

    /**
     * Quotes a value if it needs it.
     *
     * @param value value to write
     * @return the value, quoted or as it is
     */
    private static String quoted(String value) {
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
