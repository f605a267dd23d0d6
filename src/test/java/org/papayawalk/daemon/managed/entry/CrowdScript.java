package org.papayawalk.daemon.managed.entry;

import java.io.IOException;
import java.io.OutputStream;

/** What each caller of a crowd sends on its connection. Implementations are thread-safe. */
interface CrowdScript {
    /**
     * Sends what one caller sends, and leaves the connection open.
     *
     * @param out connection to the entry
     * @throws IOException if the connection is lost
     */
    void send(OutputStream out) throws IOException;
}
