package org.papayawalk.adapter.standalone;

import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Connection to a server on which chunks that the connection cuts off are a failure. Used like the
 * connection that it extends.
 */
final class CheckedClientConnection extends DefaultBHttpClientConnection {

    /**
     * Creates a connection that is not open yet.
     *
     * @param config bounds of heads and lines
     * @param parsers makes the parser of response heads
     */
    CheckedClientConnection(
            Http1Config config, HttpMessageParserFactory<ClassicHttpResponse> parsers) {
        super(config, null, null, null, null, null, parsers);
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        boolean chunked = length == ContentLengthStrategy.CHUNKED;
        return super.createContentInputStream(
                length, buffer, chunked ? new PrematureEndInputStream(in) : in);
    }
}
