package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.EofSensorInputStream;

/**
 * HTTP answer that is read while it arrives. For one reading thread; {@link #close()} may be called
 * from another to break the reading off.
 */
public final class StreamingResponse implements AutoCloseable {
    /** Answer. */
    private final ClassicHttpResponse response;

    /** Body, once it was asked for. */
    private InputStream body;

    /**
     * Wraps an answer.
     *
     * @param response answer whose body was not read
     */
    StreamingResponse(ClassicHttpResponse response) {
        this.response = response;
    }

    /**
     * Returns the status.
     *
     * @return HTTP status
     */
    public int status() {
        return response.getCode();
    }

    /**
     * Returns the headers.
     *
     * @return headers in their order
     */
    public List<HttpHeader> headers() {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : response.getHeaders()) {
            headers.add(new HttpHeader(h.getName(), h.getValue()));
        }
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return stream that ends at the end of the body and fails if the connection is lost before
     * @throws IOException if the connection was lost
     */
    public synchronized InputStream body() throws IOException {
        if (body == null) {
            HttpEntity entity = response.getEntity();
            body = entity == null ? InputStream.nullInputStream() : entity.getContent();
        }
        return body;
    }

    /**
     * Ends the reading. A body that was read to its end leaves its connection for further requests;
     * otherwise the connection is closed at once, because reading the rest would block.
     */
    @Override
    public void close() {
        try {
            if (body() instanceof EofSensorInputStream sensor) {
                sensor.abort();
            }
        } catch (IOException e) {
            // The answer is given up; a failure to close its connection changes nothing.
            return;
        }
    }
}
