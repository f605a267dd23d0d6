package org.papayawalk.daemon.managed;

import java.io.IOException;
import java.net.Socket;

/** Bytes that a fake server sends in answer to a request. Implementations are immutable. */
public interface Script {
    /**
     * Sends the bytes. The connection is closed afterwards.
     *
     * @param socket connection
     * @param id id of the request
     * @param headers lines of further headers
     * @throws IOException when the peer has closed the connection
     */
    void play(Socket socket, String id, String headers) throws IOException;
}
