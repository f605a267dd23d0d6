package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.ArrayDeque;
import java.util.Deque;
import org.papayawalk.core.limit.HeaderLines;

/**
 * Creates the headers and trailers of the requests on one connection, and releases what is left of
 * them when it closes. Confined to the event loop thread.
 */
final class ConnectionHeads {
    /** Headers that a connection may hold at once: those of all requests that wait, with theirs. */
    private static final int MAX_TRACKED = 128;

    private final HeaderLines budget;

    private final Deque<CountedHeaders> created = new ArrayDeque<>();

    /**
     * Creates the heads of a connection.
     *
     * @param budget bound of the lines of all requests
     */
    ConnectionHeads(HeaderLines budget) {
        this.budget = budget;
    }

    /**
     * Returns the factory of headers.
     *
     * @return factory for a decoder
     */
    HttpHeadersFactory headers() {
        return factory(DefaultHttpHeadersFactory.headersFactory());
    }

    /**
     * Returns the factory of trailers.
     *
     * @return factory for a decoder
     */
    HttpHeadersFactory trailers() {
        return factory(DefaultHttpHeadersFactory.trailersFactory());
    }

    /** Gives the room of all lines back. Called when the connection has closed. */
    void release() {
        created.forEach(CountedHeaders::release);
        created.clear();
    }

    private HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return create(validation);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return create(validation);
            }
        };
    }

    private HttpHeaders create(DefaultHttpHeadersFactory validation) {
        CountedHeaders headers = new CountedHeaders(budget, validation);
        created.addLast(headers);
        if (created.size() > MAX_TRACKED) {
            created.removeFirst().release();
        }
        return headers;
    }
}
