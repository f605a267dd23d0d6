package org.papayawalk.http;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;

/**
 * HTTP request whose response is read as a whole. Immutable by convention: the body array must not
 * be modified.
 *
 * @param address IP address and port of the server
 * @param method HTTP method
 * @param target path and query
 * @param body content of the body, empty for none; a body is sent as JSON
 * @param timeout maximum time until the first byte of the response, connecting included
 * @param bounds bounds of the response
 */
public record AsyncHttpRequest(
        String address,
        HttpMethod method,
        String target,
        byte[] body,
        Duration timeout,
        ResponseBounds bounds) {

    /**
     * Creates a request whose whole response must arrive within a time.
     *
     * @param address IP address and port of the server
     * @param method HTTP method
     * @param target path and query
     * @param body content of the body, empty for none
     * @param timeout maximum time until the response is complete, connecting included
     */
    public AsyncHttpRequest(
            String address, HttpMethod method, String target, byte[] body, Duration timeout) {
        this(
                address,
                method,
                target,
                body,
                timeout,
                new ResponseBounds(timeout, timeout, ResponseBounds.MAX_BYTES));
    }

    /**
     * Creates a GET request without body.
     *
     * @param address IP address and port of the server
     * @param target path and query
     * @param timeout maximum time until the response is complete
     * @return request
     */
    public static AsyncHttpRequest get(String address, String target, Duration timeout) {
        return new AsyncHttpRequest(address, HttpMethod.GET, target, new byte[0], timeout);
    }

    /**
     * Returns the same request with other bounds of its response.
     *
     * @param newBounds bounds
     * @return request
     */
    public AsyncHttpRequest withBounds(ResponseBounds newBounds) {
        return new AsyncHttpRequest(address, method, target, body, timeout, newBounds);
    }
}
