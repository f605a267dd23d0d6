package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.EofSensorInputStream;
import org.papayawalk.core.stream.BodyEnd;

/**
 * HTTP response whose body is read while it arrives. Used by one reading thread; {@link #close()}
 * may be called from another thread to abort the read.
 */
public final class StreamingResponse implements AutoCloseable {
    private final ClassicHttpResponse response;

    /** Body as the library gives it, null until first requested. */
    private InputStream content;

    /** Body as its readers get it, null until first requested. */
    private InputStream body;

    /**
     * Wraps a response of the HTTP library.
     *
     * @param response response whose body was not read
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
     * @return headers in the order received
     */
    public List<HttpHeader> headers() {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : response.getHeaders()) {
            headers.add(new HttpHeader(h.getName(), h.getValue()));
        }
        return headers;
    }

    /**
     * Returns the body, always as the same stream.
     *
     * @return stream that throws an exception if the connection is lost before the end of the body,
     *     or an event stream ends inside an event
     * @throws IOException if the connection was lost
     */
    public synchronized InputStream body() throws IOException {
        if (body == null) {
            HttpEntity entity = response.getEntity();
            content = entity == null ? InputStream.nullInputStream() : entity.getContent();
            body =
                    isEventStream(entity)
                            ? new EventStreamInputStream(content, bodyEnd(entity))
                            : content;
        }
        return body;
    }

    /**
     * Returns what tells the end of the body.
     *
     * @return end that the headers announce
     */
    public BodyEnd bodyEnd() {
        HttpEntity entity = response.getEntity();
        return entity == null ? BodyEnd.LENGTH : bodyEnd(entity);
    }

    /**
     * Stops reading. If the body was read to its end, the connection returns to the pool; otherwise
     * the connection is closed immediately, since reading the rest would block.
     */
    @Override
    public void close() {
        try {
            body();
            if (content instanceof EofSensorInputStream sensor) {
                sensor.abort();
            }
        } catch (IOException e) {
            // The response is discarded, so a failure to close its connection has no effect.
            return;
        }
    }

    private static boolean isEventStream(HttpEntity entity) {
        if (entity == null || entity.getContentType() == null) {
            return false;
        }
        ContentType type = ContentType.parseLenient(entity.getContentType());
        return type != null && type.isSameMimeType(ContentType.TEXT_EVENT_STREAM);
    }

    private static BodyEnd bodyEnd(HttpEntity entity) {
        if (entity.isChunked()) {
            return BodyEnd.LAST_CHUNK;
        }
        return entity.getContentLength() < 0 ? BodyEnd.CONNECTION : BodyEnd.LENGTH;
    }
}
