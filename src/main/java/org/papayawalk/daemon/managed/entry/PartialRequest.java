package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import java.time.Instant;
import org.papayawalk.core.desired.CallerLimits;

/**
 * Request of a caller whose head was received and whose body is being received. Confined to the
 * event loop thread.
 */
final class PartialRequest {
    private final HttpRequest head;

    private final CallerLimits limits;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a request without a body.
     *
     * @param head head of the request
     * @param limits limits in force when the head was received
     */
    PartialRequest(HttpRequest head, CallerLimits limits) {
        this.head = head;
        this.limits = limits;
    }

    /**
     * Returns the head.
     *
     * @return method, target and headers
     */
    HttpRequest head() {
        return head;
    }

    /**
     * Returns the limits of this request.
     *
     * @return limits in force when the head was received
     */
    CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether further bytes would exceed the limit.
     *
     * @param bytes number of further bytes
     * @return true if the body would be too long
     */
    boolean exceedsLimit(int bytes) {
        return (long) body.readableBytes() + bytes > limits.maxBodyBytes();
    }

    /**
     * Appends part of the body.
     *
     * @param part bytes, within the limit
     */
    void append(ByteBuf part) {
        if (body == Unpooled.EMPTY_BUFFER && part.isReadable()) {
            body = Unpooled.buffer(part.readableBytes());
        }
        body.writeBytes(part);
    }

    /**
     * Returns the request, whose body is complete.
     *
     * @param now present time
     * @return request, to be released
     */
    CallerRequest complete(Instant now) {
        return new CallerRequest(head, body, now);
    }

    /** Frees the body of a request that does not become complete. */
    void discard() {
        body.release();
    }
}
