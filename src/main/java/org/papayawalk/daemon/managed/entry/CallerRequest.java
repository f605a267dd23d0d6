package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;

/**
 * Complete request of a caller. The handler of the request must release it.
 *
 * @param head method, target and headers
 * @param body complete body, reference counted
 * @param onRelease gives the memory of the body back
 * @param receivedAt when the last byte of the request was received
 */
record CallerRequest(HttpRequest head, ByteBuf body, Runnable onRelease, Instant receivedAt) {
    /** Frees the body and the room of the header lines. Called once. */
    void release() {
        body.release();
        if (head.headers() instanceof CountedHeaders counted) {
            counted.release();
        }
        onRelease.run();
    }
}
