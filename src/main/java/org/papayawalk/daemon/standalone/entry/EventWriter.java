package org.papayawalk.daemon.standalone.entry;

import java.io.IOException;

/** Takes the events of a streamed answer. Implementations are confined to the caller's thread. */
interface EventWriter {

    /**
     * Sends a whole event.
     *
     * @param event bytes of the event with its final blank line
     * @throws IOException if the caller has gone
     */
    void event(byte[] event) throws IOException;

    /**
     * Ends a stream that is not whole, so that it cannot be taken for a whole one.
     *
     * @param refusal why
     * @throws IOException always, to break the connection off
     */
    void fail(ErrorResponse refusal) throws IOException;
}
