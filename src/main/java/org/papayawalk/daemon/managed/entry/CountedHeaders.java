package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import org.papayawalk.core.limit.HeaderLines;

/**
 * Headers of a request whose lines count in the memory of all requests until they are released.
 * Confined to the event loop thread.
 */
final class CountedHeaders extends DefaultHttpHeaders {
    private final HeaderLines budget;

    private final ConnectionHeads connection;

    private int lines;

    /** Lines that count in the budget. */
    private int heldLines;

    /** Thrown by a decoder when there is no memory for a further line. */
    static final class NoMemoryException extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with its message. */
        NoMemoryException() {
            super("no memory for the header lines of the request");
        }
    }

    /**
     * Creates headers without lines.
     *
     * @param budget bound of the lines of all requests
     * @param connection heads of the connection, which knows those that hold room
     * @param validation decides which names and values are valid
     */
    CountedHeaders(
            HeaderLines budget, ConnectionHeads connection, DefaultHttpHeadersFactory validation) {
        super(validation.getNameValidator(), validation.getValueValidator());
        this.budget = budget;
        this.connection = connection;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        countLine();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        countLine();
        return super.add(name, value);
    }

    /** Gives the room of the lines back. No effect if it was given back before. */
    void release() {
        if (heldLines > 0) {
            budget.release(heldLines);
            heldLines = 0;
            connection.roomReleased(this);
        }
    }

    private void countLine() {
        lines++;
        if (lines <= HeaderLines.FREE_LINES) {
            return;
        }
        if (!budget.tryHold()) {
            release();
            throw new NoMemoryException();
        }
        heldLines++;
        if (heldLines == 1) {
            connection.roomHeld(this);
        }
    }
}
