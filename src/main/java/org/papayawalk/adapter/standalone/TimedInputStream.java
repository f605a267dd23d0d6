package org.papayawalk.adapter.standalone;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.time.Duration;

/**
 * Stream that bounds the time from its first byte to its last, however the bytes come. The wait for
 * the next byte is bounded by the socket. Not thread-safe: confined to the reading thread.
 */
public final class TimedInputStream extends FilterInputStream {
    private final Duration timeout;

    /** When the first byte was read, as {@link System#nanoTime()}; 0 until then. */
    private long startNanos;

    /**
     * Creates a stream.
     *
     * @param in stream to read
     * @param timeout time from the first byte to the end
     */
    public TimedInputStream(InputStream in, Duration timeout) {
        super(in);
        this.timeout = timeout;
    }

    @Override
    public int read() throws IOException {
        int b = super.read();
        checkTime();
        return b;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        int n = super.read(buffer, offset, length);
        checkTime();
        return n;
    }

    private void checkTime() throws SocketTimeoutException {
        long now = System.nanoTime();
        if (startNanos == 0) {
            startNanos = now;
        }
        if (now - startNanos > timeout.toNanos()) {
            throw new SocketTimeoutException("not complete within " + timeout.toMillis() + " ms");
        }
    }
}
