package org.papayawalk.http;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Recognizes the status line of a response among the lines of another text. Stateless; thread-safe.
 */
public final class StatusLine {
    private static final Pattern LINE =
            Pattern.compile("^HTTP/[0-9][.][0-9] [0-9]{3}", Pattern.MULTILINE);

    private StatusLine() {}

    /**
     * Returns whether a line of a text begins as a status line does.
     *
     * @param text bytes of the text, without part of its first line
     * @return true if a response may begin in the text
     */
    public static boolean isIn(byte[] text) {
        return LINE.matcher(new String(text, StandardCharsets.ISO_8859_1)).find();
    }
}
