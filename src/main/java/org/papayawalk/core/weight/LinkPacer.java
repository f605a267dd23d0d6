package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Paces sends on a link so that the weights keep to their share of it. Live traffic takes its bytes
 * at once with {@link #charge} and so pushes later chunks back. Thread-safe.
 */
public final class LinkPacer {
    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Rate of the link in bytes a second. */
    private final double bytesPerSecond;

    /** When everything reserved so far has been sent. */
    private Instant freeAt = Instant.MIN;

    /**
     * Creates a pacer.
     *
     * @param bytesPerSecond share of the link in bytes a second, above 0
     */
    public LinkPacer(double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException("link rate " + bytesPerSecond + " is not above 0");
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Reserves time for a send.
     *
     * @param bytes length of the send in bytes
     * @param now present time
     * @return time from now until the last byte has left
     */
    public synchronized Duration reserve(long bytes, Instant now) {
        Instant start = freeAt.isAfter(now) ? freeAt : now;
        freeAt = start.plusNanos((long) (bytes / bytesPerSecond * NANOS_PER_SECOND));
        return Duration.between(now, freeAt);
    }

    /**
     * Returns the time that reserved sends still take.
     *
     * @param now present time
     * @return zero if the link is free
     */
    public synchronized Duration backlog(Instant now) {
        return freeAt.isAfter(now) ? Duration.between(now, freeAt) : Duration.ZERO;
    }
}
