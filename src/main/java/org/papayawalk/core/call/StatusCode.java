package org.papayawalk.core.call;

import java.util.regex.Pattern;

/** Decides what is a status of an HTTP response. Stateless; thread-safe. */
public final class StatusCode {
    /** First status that ends an exchange; those below are informational. */
    public static final int FIRST_FINAL = 200;

    private static final int FIRST = 100;

    private static final int END = 600;

    private static final Pattern FORMAT = Pattern.compile("[1-5][0-9]{2}");

    private StatusCode() {}

    /**
     * Returns whether a text in a status line is a status.
     *
     * @param text second word of a status line
     * @return true for three digits from 100 to 599
     */
    public static boolean isValid(String text) {
        return FORMAT.matcher(text).matches();
    }

    /**
     * Returns whether a number is a status.
     *
     * @param code number
     * @return true from 100 to 599
     */
    public static boolean isValid(int code) {
        return code >= FIRST && code < END;
    }

    /**
     * Checks a text in a status line.
     *
     * @param text second word of a status line
     * @throws IllegalArgumentException if it is no status
     */
    public static void require(String text) {
        if (!isValid(text)) {
            throw new IllegalArgumentException(
                    "status \"%s\" is not a number from %d to %d".formatted(text, FIRST, END - 1));
        }
    }
}
