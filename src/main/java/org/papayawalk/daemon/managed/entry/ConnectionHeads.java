package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.papayawalk.core.limit.HeaderLines;

/**
 * Creates the headers and trailers of the requests on one connection, and releases what is left of
 * them when it closes. Confined to the event loop thread.
 */
final class ConnectionHeads {
    private final HeaderLines budget;

    /** Headers that hold room. */
    private final Set<CountedHeaders> holding = Collections.newSetFromMap(new IdentityHashMap<>());

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
        List.copyOf(holding).forEach(CountedHeaders::release);
    }

    /**
     * Records that headers hold room.
     *
     * @param headers headers with more lines than are free
     */
    void roomHeld(CountedHeaders headers) {
        holding.add(headers);
    }

    /**
     * Records that headers hold no room any more.
     *
     * @param headers headers that have given theirs back
     */
    void roomReleased(CountedHeaders headers) {
        holding.remove(headers);
    }

    /**
     * Returns the number of headers that hold room.
     *
     * @return 0 or more
     */
    int holdingCount() {
        return holding.size();
    }

    private HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new CountedHeaders(budget, ConnectionHeads.this, validation);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new CountedHeaders(budget, ConnectionHeads.this, validation);
            }
        };
    }
}
