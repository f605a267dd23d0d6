package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Connection to a server on which chunks that the connection cuts off are a failure, and on which
 * no request is sent if bytes came behind the last response. Used like the connection that it
 * extends.
 */
final class CheckedClientConnection extends DefaultBHttpClientConnection {
    private final InputBufferHolder input;

    /**
     * Creates a connection that is not open yet.
     *
     * @param config bounds of heads and lines
     * @param parsers makes the parser of response heads
     */
    CheckedClientConnection(
            Http1Config config, HttpMessageParserFactory<ClassicHttpResponse> parsers) {
        this(config, parsers, new InputBufferHolder());
    }

    private CheckedClientConnection(
            Http1Config config,
            HttpMessageParserFactory<ClassicHttpResponse> parsers,
            InputBufferHolder input) {
        super(config, null, null, null, null, null, c -> input.noting(parsers.create(c)));
        this.input = input;
    }

    @Override
    public void sendRequestHeader(ClassicHttpRequest request) throws HttpException, IOException {
        if (hasBytesBehindResponse()) {
            throw new UnaskedBytesException();
        }
        super.sendRequestHeader(request);
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        boolean chunked = length == ContentLengthStrategy.CHUNKED;
        return super.createContentInputStream(
                length, buffer, chunked ? new PrematureEndInputStream(in) : in);
    }

    private boolean hasBytesBehindResponse() throws IOException {
        if (input.buffer == null) {
            return false;
        }
        return input.buffer.length() > 0
                || getSocketHolder().getSocket().getInputStream().available() > 0;
    }

    /**
     * Holds the bytes that were received and not read. Not thread-safe: confined to the thread that
     * uses the connection.
     */
    private static final class InputBufferHolder {
        /** Null before the first head was read. */
        private SessionInputBuffer buffer;

        private HttpMessageParser<ClassicHttpResponse> noting(
                HttpMessageParser<ClassicHttpResponse> parser) {
            return (received, in) -> {
                buffer = received;
                return parser.parse(received, in);
            };
        }
    }
}
