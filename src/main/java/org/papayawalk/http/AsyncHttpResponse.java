package org.papayawalk.http;

/**
 * Whole answer to a short call. Immutable by agreement: the bytes are not changed.
 *
 * @param status status code
 * @param body bytes of the body
 */
public record AsyncHttpResponse(int status, byte[] body) {

    /**
     * Tells whether the call succeeded.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
