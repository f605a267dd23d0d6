package org.papayawalk.adapter.standalone;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.papayawalk.core.call.StatusCode;

/**
 * Parser of response heads that ends a head which comes in trickles, a head that its connection
 * cuts off, a head in which another one begins, and informational (1xx) heads without a response.
 * One parser belongs to one connection. Not thread-safe: confined to the reading thread.
 */
final class BoundedHeadParser implements HttpMessageParser<ClassicHttpResponse> {
    /** Informational heads allowed before a response. */
    private static final int MAX_INFORMATIONAL_HEADS = 16;

    private final HttpMessageParser<ClassicHttpResponse> parser;

    private final Duration timeout;

    /** Informational heads since the last response. */
    private int informationalHeads;

    /**
     * Creates a parser.
     *
     * @param parser parser without these bounds
     * @param timeout time from the first byte of a head to its end
     */
    BoundedHeadParser(HttpMessageParser<ClassicHttpResponse> parser, Duration timeout) {
        this.parser = new WholeHeadParser<>(parser);
        this.timeout = timeout;
    }

    @Override
    public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in)
            throws IOException, HttpException {
        ClassicHttpResponse head = parser.parse(buffer, new TimedInputStream(in, timeout));
        if (head != null && NestedStatusLine.isIn(head)) {
            throw new ProtocolException("another response begins inside the head of a response");
        }
        boolean informational = head != null && head.getCode() < StatusCode.FIRST_FINAL;
        informationalHeads = informational ? informationalHeads + 1 : 0;
        if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
            throw new MessageConstraintException(
                    "more than " + MAX_INFORMATIONAL_HEADS + " informational responses in a row");
        }
        return head;
    }
}
