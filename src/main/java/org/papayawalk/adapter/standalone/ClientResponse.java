package org.papayawalk.adapter.standalone;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Whole HTTP answer. Immutable by convention: the body is not changed.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body, may be empty
 */
public record ClientResponse(int status, List<HttpHeader> headers, byte[] body) {

    /**
     * Returns the first value of a header.
     *
     * @param name name in any case
     * @return its value, or empty
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /**
     * Tells whether the status stands for success.
     *
     * @return true for 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns the body as text.
     *
     * @return UTF-8 text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
