package org.papayawalk.daemon.standalone.entry;

import java.io.IOException;

/**
 * Writes a streamed response to the caller. Not thread-safe: confined to the thread that serves the
 * caller.
 */
interface EventWriter {

    /**
     * Writes one complete event and flushes it.
     *
     * @param event bytes of the event, including the blank line that ends it
     * @throws IOException if the caller closed the connection
     */
    void writeEvent(byte[] event) throws IOException;

    /**
     * Writes an error event and aborts the connection, so that the caller cannot mistake a
     * truncated stream for a complete one.
     *
     * @param error reason why the stream is incomplete
     * @throws IOException always, to abort the connection
     */
    void fail(ErrorResponse error) throws IOException;
}
