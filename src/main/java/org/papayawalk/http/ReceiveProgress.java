package org.papayawalk.http;

import java.time.Duration;

/** Times at which the response to one request arrives. Thread-safe. */
final class ReceiveProgress {
    private final AsyncHttpRequest request;

    private final long sentNanos;

    /** Time of the last byte, empty before the first. */
    private volatile Long lastByteNanos;

    /**
     * Creates the progress of a request without a response.
     *
     * @param request request
     * @param sentNanos time at which it was sent, as {@link System#nanoTime()}
     */
    ReceiveProgress(AsyncHttpRequest request, long sentNanos) {
        this.request = request;
        this.sentNanos = sentNanos;
    }

    /**
     * Records that bytes were received.
     *
     * @param nowNanos present time, as {@link System#nanoTime()}
     */
    void received(long nowNanos) {
        lastByteNanos = nowNanos;
    }

    /**
     * Returns the time that is left for the next byte.
     *
     * @param nowNanos present time, as {@link System#nanoTime()}
     * @return time, not positive if the byte is overdue
     */
    Duration left(long nowNanos) {
        Long last = lastByteNanos;
        return last == null
                ? request.timeout().minusNanos(nowNanos - sentNanos)
                : request.bounds().quiet().minusNanos(nowNanos - last);
    }
}
