package org.papayawalk.lab.standin;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.papayawalk.adapter.standalone.Json;

/** Reads requests and fills responses of the stand-ins. Stateless; thread-safe. */
final class HttpMessages {

    private HttpMessages() {}

    /**
     * Reads the body of a request.
     *
     * @param request request
     * @return body, empty if there is none
     * @throws IOException if the connection was lost
     */
    static byte[] readBody(ClassicHttpRequest request) throws IOException {
        if (request.getEntity() == null) {
            return new byte[0];
        }
        return EntityUtils.toByteArray(request.getEntity());
    }

    /**
     * Fills a response with JSON.
     *
     * @param response response to fill
     * @param status HTTP status
     * @param value value to write as JSON
     */
    static void writeJson(ClassicHttpResponse response, int status, Object value) {
        response.setCode(status);
        response.setEntity(new ByteArrayEntity(Json.write(value), ContentType.APPLICATION_JSON));
    }

    /**
     * Fills a response with status 200 and bytes.
     *
     * @param response response to fill
     * @param data content of the body
     */
    static void writeBytes(ClassicHttpResponse response, byte[] data) {
        response.setCode(200);
        response.setEntity(new ByteArrayEntity(data, ContentType.APPLICATION_OCTET_STREAM));
    }

    /**
     * Fills a response with an error as JSON.
     *
     * @param response response to fill
     * @param status HTTP status
     * @param message cause of the error
     */
    static void writeError(ClassicHttpResponse response, int status, String message) {
        writeJson(response, status, Map.of("error", message));
    }

    /**
     * Reads the query parameters of a request. Values are not URL-decoded.
     *
     * @param request request
     * @return values by name, empty without a query
     */
    static Map<String, String> queryParameters(ClassicHttpRequest request) {
        Map<String, String> values = new HashMap<>();
        String uri = request.getRequestUri();
        int start = uri.indexOf('?');
        if (start < 0) {
            return values;
        }
        for (String pair : uri.substring(start + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
        }
        return values;
    }

    /**
     * Returns the path of a request without the query.
     *
     * @param request request
     * @return path
     */
    static String path(ClassicHttpRequest request) {
        String path = request.getPath();
        int query = path.indexOf('?');
        return query < 0 ? path : path.substring(0, query);
    }
}
