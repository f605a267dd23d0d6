package org.papayawalk.http;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.papayawalk.core.call.StatusCode;

/**
 * Decodes the responses on a connection to a server, to requests other than HEAD and CONNECT. It
 * tells how much it has not decoded. A head without a status of HTTP is malformed. Confined to the
 * event loop thread.
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

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusCode.require(initialLine[1]);
        return super.createMessage(initialLine);
    }
}
