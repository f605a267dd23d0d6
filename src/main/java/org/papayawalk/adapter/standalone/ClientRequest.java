package org.papayawalk.adapter.standalone;

import java.util.List;

/**
 * HTTP request to send. Immutable by convention: the body array must not be modified.
 *
 * @param step name of the operation, used in faults
 * @param address IP address and port of the server
 * @param method HTTP method
 * @param path path and query
 * @param headers headers
 * @param body content of the body, null for none
 */
public record ClientRequest(
        String step,
        String address,
        String method,
        String path,
        List<HttpHeader> headers,
        byte[] body) {

    /**
     * Creates a GET request.
     *
     * @param step name of the operation, used in faults
     * @param address IP address and port of the server
     * @param path path and query
     * @return request without headers and body
     */
    public static ClientRequest get(String step, String address, String path) {
        return new ClientRequest(step, address, "GET", path, List.of(), null);
    }

    /**
     * Creates a POST request with a JSON body.
     *
     * @param step name of the operation, used in faults
     * @param address IP address and port of the server
     * @param path path and query
     * @param value value to send as JSON
     * @return request
     */
    public static ClientRequest post(String step, String address, String path, Object value) {
        List<HttpHeader> headers = List.of(new HttpHeader("Content-Type", "application/json"));
        return new ClientRequest(step, address, "POST", path, headers, Json.write(value));
    }
}
