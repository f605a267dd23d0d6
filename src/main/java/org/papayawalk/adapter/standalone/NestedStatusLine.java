package org.papayawalk.adapter.standalone;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;

/**
 * Recognizes heads in which the head of another response begins. A response that is cut off inside
 * its head and followed by another one reads as one response with the status of the first and the
 * body of the second. Stateless; thread-safe.
 */
final class NestedStatusLine {
    /** What every status line begins with; a cheap test that the pattern can be left out. */
    private static final String PROTOCOL = "HTTP/";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9][.][0-9] [0-9]{3}");

    private NestedStatusLine() {}

    /**
     * Returns whether a head contains the start of another one.
     *
     * @param head head of a response
     * @return true if its reason, or a name or value of a header, holds a status line
     */
    static boolean isIn(ClassicHttpResponse head) {
        if (isIn(head.getReasonPhrase())) {
            return true;
        }
        // The HTTP library takes a line without a colon for a name.
        for (Header h : head.getHeaders()) {
            if (isIn(h.getName()) || isIn(h.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isIn(String text) {
        return text != null && text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
