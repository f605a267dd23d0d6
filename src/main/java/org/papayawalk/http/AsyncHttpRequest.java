package org.papayawalk.http;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;

/**
 * Call whose answer is taken as a whole. Immutable by agreement: the bytes are not changed.
 *
 * @param address IP number and port
 * @param method method
 * @param target path and query
 * @param body bytes of the body, empty for none
 * @param timeout longest time until the answer is complete
 */
public record AsyncHttpRequest(
        String address, HttpMethod method, String target, byte[] body, Duration timeout) {

    /**
     * Makes a call that reads.
     *
     * @param address IP number and port
     * @param target path and query
     * @param limit longest time until the answer is complete
     * @return the call
     */
    public static AsyncHttpRequest get(String address, String target, Duration limit) {
        return new AsyncHttpRequest(address, HttpMethod.GET, target, new byte[0], limit);
    }
}
