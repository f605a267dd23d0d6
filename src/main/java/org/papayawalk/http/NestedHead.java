package org.papayawalk.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes heads in which the head of another message begins. A message that is cut off inside
 * its head and followed by another one reads as one message, with the first line of the first and
 * the body of the second. Stateless; thread-safe.
 */
public final class NestedHead {
    /** What every status line begins with; a cheap test that the pattern can be left out. */
    private static final String PROTOCOL = "HTTP/";

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9][.][0-9][ \\t]+[0-9]{3}");

    private static final Pattern REQUEST_LINE_END = Pattern.compile(" HTTP/[0-9][.][0-9] *$");

    private NestedHead() {}

    /**
     * Returns whether a head contains the start of another one.
     *
     * @param response head
     * @return true if its reason or a header holds a status line
     */
    public static boolean isIn(HttpResponse response) {
        return holdsStatusLine(response.status().reasonPhrase()) || isIn(response.headers());
    }

    /**
     * Returns whether a head contains the start of another one.
     *
     * @param request head
     * @return true if a header ends as a request line does
     */
    public static boolean isIn(HttpRequest request) {
        for (Map.Entry<String, String> h : request.headers()) {
            String value = h.getValue();
            if (value.contains(PROTOCOL) && REQUEST_LINE_END.matcher(value).find()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether headers or trailers contain the start of a head.
     *
     * @param headers headers or trailers
     * @return true if a value holds a status line
     */
    public static boolean isIn(HttpHeaders headers) {
        for (Map.Entry<String, String> h : headers) {
            if (holdsStatusLine(h.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
