package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Instant;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.limit.BodyAdmission;
import org.papayawalk.core.limit.BodyAdmission.Decision;

/**
 * Request of a caller whose head was received and whose body is being received. Its body counts in
 * the memory of all bodies from the head on. Confined to the event loop thread.
 */
final class PartialRequest {
    /** Growth of the buffer of a body whose length is not stated. */
    private static final double GROWTH = 1.5;

    private final HttpRequest head;

    private final CallerLimits limits;

    private final BodyAdmission bodies;

    private final BodyAdmission.Ticket memory;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    /**
     * Creates a request and asks for room for its body.
     *
     * @param head head of the request
     * @param limits limits in force when the head was received
     * @param bodies memory of all bodies
     * @param onAdmitted called when a body that had to wait has room
     */
    PartialRequest(
            HttpRequest head, CallerLimits limits, BodyAdmission bodies, Runnable onAdmitted) {
        this.head = head;
        this.limits = limits;
        this.bodies = bodies;
        this.memory = bodies.request(statedLength(head), onAdmitted);
    }

    /**
     * Returns the length of a body.
     *
     * @param head head of a request
     * @return bytes, 0 if the head states no length
     */
    static long statedLength(HttpRequest head) {
        return HttpUtil.getContentLength(head, 0L);
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
     * Returns whether the body may be received.
     *
     * @return decision on its memory
     */
    Decision admission() {
        return memory.decision();
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
     * @return false if there is no memory for them
     */
    boolean append(ByteBuf part) {
        int length = body.readableBytes() + part.readableBytes();
        boolean admitted = memory.decision() == Decision.ADMITTED;
        if (length > body.capacity()) {
            int capacity = admitted ? capacity(length) : length;
            if (admitted && !bodies.grow(memory, capacity)) {
                return false;
            }
            body = body == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(capacity) : body;
            body.capacity(capacity);
        }
        body.writeBytes(part);
        return true;
    }

    // The memory of a body is what its buffer holds, not only what was written to it.
    private int capacity(int length) {
        long stated = statedLength(head);
        long grown = stated > 0 ? stated : (long) (body.capacity() * GROWTH);
        return (int) Math.max(length, Math.min(grown, limits.maxBodyBytes()));
    }

    /**
     * Returns the request, whose body is complete.
     *
     * @param now present time
     * @return request, to be released
     */
    CallerRequest complete(Instant now) {
        bodies.admitReceived(memory);
        return new CallerRequest(head, body, () -> bodies.release(memory), now);
    }

    /** Frees the body of a request that does not become complete. */
    void discard() {
        body.release();
        bodies.release(memory);
    }
}
