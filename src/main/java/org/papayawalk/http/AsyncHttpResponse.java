package org.papayawalk.http;

/**
 * HTTP response with its whole body. Immutable by convention: the body array must not be modified.
 *
 * @param status HTTP status
 * @param body content of the body, may be empty
 */
public record AsyncHttpResponse(int status, byte[] body) {

    /**
     * Tells whether the request succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
