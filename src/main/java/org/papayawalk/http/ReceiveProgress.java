package org.papayawalk.http;

/** Time of the last byte of the response to one request. Thread-safe. */
final class ReceiveProgress {
    private volatile long lastByteNanos;

    /**
     * Creates the progress of a request without a response.
     *
     * @param sentNanos time of the request, as {@link System#nanoTime()}
     */
    ReceiveProgress(long sentNanos) {
        lastByteNanos = sentNanos;
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
     * Returns the time since the last byte.
     *
     * @param nowNanos present time, as {@link System#nanoTime()}
     * @return nanoseconds since the last byte, or the request
     */
    long quietNanos(long nowNanos) {
        return nowNanos - lastByteNanos;
    }
}
