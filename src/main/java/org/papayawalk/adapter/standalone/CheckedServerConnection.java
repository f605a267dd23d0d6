package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Connection of a client on which a request that the connection cuts off is a failure, in its head
 * too. Used like the connection that it extends.
 */
final class CheckedServerConnection extends DefaultBHttpServerConnection {
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
}
