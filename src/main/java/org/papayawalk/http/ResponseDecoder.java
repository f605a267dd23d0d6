package org.papayawalk.http;

import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a connection to a server, to requests other than HEAD and CONNECT. It
 * tells how much it has not decoded. Confined to the event loop thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /**
     * Returns the number of bytes that were received and not decoded yet. Within the last part of a
     * response they are the bytes that came behind it.
     *
     * @return number of bytes
     */
    int undecodedBytes() {
        return actualReadableBytes();
    }
}
