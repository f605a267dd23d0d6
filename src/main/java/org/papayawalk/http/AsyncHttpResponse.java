package org.papayawalk.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/**
 * HTTP response with its whole body. Immutable by convention: neither the headers nor the body
 * array may be modified.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body content of the body, may be empty
 */
public record AsyncHttpResponse(int status, HttpHeaders headers, byte[] body) {

    /**
     * Tells whether the request succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status / 100 == 2;
    }

    /**
     * Returns the value of a header field.
     *
     * @param name name of the field, in any case
     * @return first value, empty if the response has no such field
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }
}
