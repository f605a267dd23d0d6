package org.papayawalk.daemon.managed.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.time.Duration;
import org.papayawalk.core.desired.CallerLimits;
import org.papayawalk.core.limit.BodyAdmission.Decision;
import org.papayawalk.http.NestedHead;
import org.papayawalk.platform.HeaderCodec;

/**
 * Receives the requests on one connection of a caller. The limits of a request are those in force
 * when its head is complete, and its body is received once there is memory for it. Confined to the
 * event loop thread.
 */
final class RequestReceiver {
    /** Longest wait of a long request body for room in memory. */
    private static final Duration MAX_BODY_WAIT = Duration.ofSeconds(2);

    /** Retry delay of a request whose body found no room. */
    private static final Duration NO_MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    /** Retry delay of a request that exceeds limits which may have changed. */
    private static final Duration LATE_STATE_RETRY_AFTER = Duration.ofMillis(500);

    private final EntryContext entry;

    private final ChannelHandlerContext context;

    /** Runs from the first byte of a request to its last one. */
    private final ConnectionTimer timer;

    private final Listener listener;

    /** Request whose head was received; null if there is none. */
    private PartialRequest partial;

    /** Whether the header timeout runs for a head that is not complete yet. */
    private boolean headStarted;

    /** Handles what was received. */
    interface Listener {
        /**
         * Handles a complete request.
         *
         * @param request request, to be released
         */
        void requestReceived(CallerRequest request);

        /**
         * Answers a request that was not received as a whole. It was not forwarded and cannot run.
         * The connection takes no further request.
         *
         * @param status status of the answer
         * @param reason reason for the log
         * @param requestId id of the request, empty if it is not known
         * @param retryAfter delay after which the caller may retry, zero to state none
         */
        void requestRejected(
                HttpResponseStatus status, String reason, String requestId, Duration retryAfter);

        /** Reads on, or not, after {@link #waitsForMemory()} may have changed. */
        void updateReading();
    }

    /**
     * Creates a receiver before the first request.
     *
     * @param entry shared state of the entry
     * @param context connection
     * @param timer timer of the connection
     * @param listener handles what was received
     */
    RequestReceiver(
            EntryContext entry,
            ChannelHandlerContext context,
            ConnectionTimer timer,
            Listener listener) {
        this.entry = entry;
        this.context = context;
        this.timer = timer;
        this.listener = listener;
    }

    /** Starts the header timeout, as part of a head was received. */
    void headBegan() {
        if (partial == null && !headStarted) {
            headStarted = true;
            Duration limit = entry.callerLimits().headerTimeout();
            timer.start(limit, () -> rejectTimedOut("headers", limit));
        }
    }

    /**
     * Receives part of a request.
     *
     * @param part head or part of a body
     */
    void receive(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            rejectMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            boolean severalHosts = request.headers().getAll(HttpHeaderNames.HOST).size() > 1;
            if (severalHosts || NestedHead.isIn(request)) {
                reject(HttpResponseStatus.BAD_REQUEST, "head holds the head of another request");
                return;
            }
            startRequest(request);
        }
        if (part instanceof HttpContent content && partial != null) {
            appendBody(content);
        }
    }

    /**
     * Returns whether the head of a request was received and its body is not complete.
     *
     * @return false between requests and in a head
     */
    boolean isReceiving() {
        return partial != null;
    }

    /**
     * Returns whether a body waits for room in memory, so that nothing may be read.
     *
     * @return false if there is no request or it has room
     */
    boolean waitsForMemory() {
        return partial != null && partial.admission() == Decision.WAITING;
    }

    /** Refuses the request that is being received, as its memory is needed for others. */
    void shed() {
        rejectWithoutMemory();
    }

    /** Frees the request that is being received, if any. */
    void discard() {
        if (partial != null) {
            PartialRequest discarded = partial;
            partial = null;
            discarded.discard();
        }
    }

    private void startRequest(HttpRequest request) {
        headStarted = false;
        CallerLimits limits = entry.callerLimits();
        long length = PartialRequest.statedLength(request);
        partial = new PartialRequest(request, limits, entry.bodies(), this::bodyAdmitted);
        while (partial.admission() == Decision.REFUSED && shedsStalled(length, limits)) {
            partial = new PartialRequest(request, limits, entry.bodies(), this::bodyAdmitted);
        }
        if (length > limits.maxBodyBytes() || !entry.bodies().fits(length)) {
            rejectTooLong();
        } else if (partial.admission() == Decision.ADMITTED) {
            receiveBody();
        } else if (partial.admission() == Decision.WAITING) {
            listener.updateReading();
            timer.start(MAX_BODY_WAIT, this::rejectWithoutMemory);
        } else {
            rejectWithoutMemory();
        }
    }

    private boolean shedsStalled(long length, CallerLimits limits) {
        return length <= limits.maxBodyBytes()
                && entry.bodies().fits(length)
                && entry.callers().shedStalledBody(entry.clock().instant());
    }

    private void bodyAdmitted() {
        receiveBody();
        listener.updateReading();
    }

    private void receiveBody() {
        Duration limit = partial.limits().idleTimeout();
        timer.start(limit, () -> rejectTimedOut("body", limit));
        if (HttpUtil.is100ContinueExpected(partial.head())) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(HttpContent content) {
        if (partial.exceedsLimit(content.content().readableBytes())) {
            rejectTooLong();
            return;
        }
        boolean appended = partial.append(content.content());
        while (!appended && entry.callers().shedStalledBody(entry.clock().instant())) {
            appended = partial.append(content.content());
        }
        if (!appended) {
            rejectWithoutMemory();
            return;
        }
        if (content instanceof LastHttpContent last) {
            if (last.trailingHeaders() instanceof CountedHeaders trailers) {
                trailers.release();
            }
            CallerRequest request = partial.complete(entry.clock().instant());
            timer.cancel();
            partial = null;
            listener.requestReceived(request);
        }
    }

    private void rejectMalformed(Throwable cause) {
        if (cause instanceof CountedHeaders.NoMemoryException) {
            reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    cause.getMessage(),
                    NO_MEMORY_RETRY_AFTER);
            return;
        }
        boolean tooLong =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        String reason = String.valueOf(cause.getMessage());
        if (tooLong) {
            rejectByLimit(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason);
        } else {
            reject(HttpResponseStatus.BAD_REQUEST, reason);
        }
    }

    // The limit may have been raised, unless the desired state that holds it lacks no change and
    // is still in force.
    private void rejectByLimit(HttpResponseStatus status, String reason) {
        boolean inForce = partial == null || partial.limits().equals(entry.callerLimits());
        if (inForce && entry.desiredAge().allowsDenial(entry.clock().instant())) {
            reject(status, reason);
            return;
        }
        reject(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "desired state may lack changes, by it " + reason,
                LATE_STATE_RETRY_AFTER);
    }

    private void rejectTimedOut(String part, Duration limit) {
        reject(
                HttpResponseStatus.REQUEST_TIMEOUT,
                "request " + part + " not complete after " + limit.toMillis() + " ms");
    }

    private void rejectTooLong() {
        rejectByLimit(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "request body is longer than " + partial.limits().maxBodyBytes() + " bytes");
    }

    private void rejectWithoutMemory() {
        reject(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "no memory for the request body",
                NO_MEMORY_RETRY_AFTER);
    }

    private void reject(HttpResponseStatus status, String reason) {
        reject(status, reason, Duration.ZERO);
    }

    private void reject(HttpResponseStatus status, String reason, Duration retryAfter) {
        String id = partial == null ? "" : HeaderCodec.requestId(partial.head().headers());
        timer.cancel();
        discard();
        listener.requestRejected(status, reason, id, retryAfter);
    }
}
