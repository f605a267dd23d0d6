package org.papayawalk.adapter.standalone;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * HTTP response with its whole body. Immutable by convention: the body array must not be modified.
 *
 * @param status HTTP status
 * @param headers headers in the order received
 * @param body content of the body, may be empty
 */
public record ClientResponse(int status, List<HttpHeader> headers, byte[] body) {

    /**
     * Returns the first value of a header.
     *
     * @param name name of the header, compared without regard to case
     * @return value, empty if the header is absent
     */
    public Optional<String> header(String name) {
        return headers.stream()
                .filter(h -> h.name().equalsIgnoreCase(name))
                .map(HttpHeader::value)
                .findFirst();
    }

    /**
     * Tells whether the request succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Decodes the body as UTF-8 text.
     *
     * @return text, may be empty
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
