package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Locale;
import org.papayawalk.platform.HeaderCodec;

/** Builds responses that the entry generates itself. Stateless and thread-safe. */
final class LocalResponses {
    private static final double MILLIS_PER_SECOND = 1000;

    private LocalResponses() {}

    /**
     * Builds a response.
     *
     * @param status status
     * @param requestId id of the request, may be empty
     * @param retryAfter delay for the Retry-After header, zero to omit the header
     * @return response without a body
     */
    static FullHttpResponse build(
            HttpResponseStatus status, String requestId, Duration retryAfter) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HeaderCodec.setRequestId(response.headers(), requestId);
        if (!retryAfter.isZero()) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfter));
        }
        return response;
    }

    // Formats a duration as seconds with three decimals.
    private static String seconds(Duration time) {
        return String.format(Locale.ROOT, "%.3f", time.toMillis() / MILLIS_PER_SECOND);
    }
}
