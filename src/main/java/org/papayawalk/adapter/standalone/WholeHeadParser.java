package org.papayawalk.adapter.standalone;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parser of heads that fails if the connection ends inside a head; the HTTP library takes what came
 * for the whole head. A connection that ends before a head has none. One parser belongs to one
 * connection. Not thread-safe: confined to the reading thread.
 *
 * @param <T> type of heads
 */
final class WholeHeadParser<T extends MessageHeaders> implements HttpMessageParser<T> {
    private final HttpMessageParser<T> parser;

    /**
     * Creates a parser.
     *
     * @param parser parser without this check
     */
    WholeHeadParser(HttpMessageParser<T> parser) {
        this.parser = parser;
    }

    @Override
    public T parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
        EndNotingInputStream noting = new EndNotingInputStream(in);
        T head = parser.parse(buffer, noting);
        if (head != null && noting.ended) {
            throw new ConnectionClosedException("connection ended inside a head");
        }
        return head;
    }

    /** Notes that the end was read. Confined to the reading thread. */
    private static final class EndNotingInputStream extends FilterInputStream {
        private boolean ended;

        private EndNotingInputStream(InputStream in) {
            super(in);
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int n = super.read(bytes, offset, length);
            ended |= n < 0;
            return n;
        }
    }
}
