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

/** Builds answers that come from no upstream. Holds no state; safe from any thread. */
final class LocalResponses {
    /** Milliseconds of a second. */
    private static final double MILLIS_PER_SECOND = 1000;

    /** Prevents instances. */
    private LocalResponses() {}

    /**
     * Builds an answer.
     *
     * @param status status
     * @param requestId id of the request, may be empty
     * @param retryAfter when the caller may come back, zero to say nothing
     * @return answer without a body
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

    /**
     * Writes a time.
     *
     * @param time time to write
     * @return seconds with three decimals
     */
    private static String seconds(Duration time) {
        return String.format(Locale.ROOT, "%.3f", time.toMillis() / MILLIS_PER_SECOND);
    }
}
