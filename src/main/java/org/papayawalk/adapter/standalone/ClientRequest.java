package org.papayawalk.adapter.standalone;

import java.util.List;

/**
 * HTTP request to send. Immutable by convention: the body is not changed.
 *
 * @param step name of the step, for faults
 * @param address IP number and port of the server
 * @param method HTTP method
 * @param path path with its query
 * @param headers headers
 * @param body body, or null for none
 */
public record ClientRequest(
        String step,
        String address,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body) {

    /**
     * Creates a request without body.
     *
     * @param step name of the step
     * @param address IP number and port of the server
     * @param path path with its query
     * @return the request
     */
    public static ClientRequest get(String step, String address, String path) {
        return new ClientRequest(step, address, "GET", path, List.of(), null);
    }

    /**
     * Creates a request with a JSON body.
     *
     * @param step name of the step
     * @param address IP number and port of the server
     * @param path path with its query
     * @param value value to send
     * @return the request
     */
    public static ClientRequest post(String step, String address, String path, Object value) {
        List<HttpHeader> headers = List.of(new HttpHeader("Content-Type", "application/json"));
        return new ClientRequest(step, address, "POST", path, headers, Json.write(value));
    }
}
