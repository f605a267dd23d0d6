package org.papayawalk.adapter.standalone;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.SessionOutputBuffer;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/**
 * Connection of a client on which a request that the connection cuts off is a failure, in its head
 * too, and on which a response that its entity breaks off gets no last chunk. Used like the
 * connection that it extends: by one thread.
 */
final class CheckedServerConnection extends DefaultBHttpServerConnection {
    /** Whether the entity of the current response has failed. */
    private boolean responseBroken;

    private CheckedServerConnection() {
        super("http", Http1Config.DEFAULT, null, null, null, null, c -> newParser(), null);
    }

    /**
     * Opens a connection.
     *
     * @param socket accepted socket
     * @return open connection
     * @throws IOException if the socket is closed
     */
    static CheckedServerConnection of(Socket socket) throws IOException {
        CheckedServerConnection connection = new CheckedServerConnection();
        connection.bind(socket);
        return connection;
    }

    @Override
    public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
        HttpEntity entity = response.getEntity();
        if (entity != null) {
            response.setEntity(new NotingEntity(entity));
        }
        super.sendResponseEntity(response);
    }

    // The library ends the body also if its entity has failed.
    @Override
    protected OutputStream createContentOutputStream(
            long length,
            SessionOutputBuffer buffer,
            OutputStream out,
            Supplier<List<? extends Header>> trailers) {
        OutputStream content = super.createContentOutputStream(length, buffer, out, trailers);
        return new FilterOutputStream(content) {
            @Override
            public void write(byte[] bytes, int offset, int count) throws IOException {
                content.write(bytes, offset, count);
            }

            @Override
            public void close() throws IOException {
                if (!responseBroken) {
                    content.close();
                }
            }
        };
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        boolean chunked = length == ContentLengthStrategy.CHUNKED;
        return super.createContentInputStream(
                length, buffer, chunked ? new PrematureEndInputStream(in) : in);
    }

    private static HttpMessageParser<ClassicHttpRequest> newParser() {
        return new WholeHeadParser<>(
                DefaultHttpRequestParserFactory.INSTANCE.create(Http1Config.DEFAULT));
    }

    /** Notes that the entity of the current response has failed. */
    private final class NotingEntity extends HttpEntityWrapper {
        private NotingEntity(HttpEntity entity) {
            super(entity);
        }

        @Override
        public void writeTo(OutputStream out) throws IOException {
            responseBroken = true;
            super.writeTo(out);
            responseBroken = false;
        }
    }
}
