package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;

/**
 * Paces transfers of weights on a link to a fixed rate, so that the rest of the link is free for
 * live traffic. Each reservation is queued behind the earlier ones. Thread-safe.
 */
public final class LinkPacer {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double bytesPerSecond;

    /** Time at which the last reserved transfer ends. */
    private Instant reservedUntil = Instant.MIN;

    /**
     * Creates a pacer without reservations.
     *
     * @param bytesPerSecond rate for weights in bytes per second, above 0
     * @throws IllegalArgumentException if the rate is not above 0
     */
    public LinkPacer(double bytesPerSecond) {
        if (!(bytesPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "link rate must be above 0 bytes per second, got " + bytesPerSecond);
        }
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Reserves the link for a transfer.
     *
     * @param bytes length of the transfer in bytes
     * @param now present time
     * @return time from now until the last byte has been transferred
     */
    public synchronized Duration reserve(long bytes, Instant now) {
        Instant start = reservedUntil.isAfter(now) ? reservedUntil : now;
        reservedUntil = start.plusNanos((long) (bytes / bytesPerSecond * NANOS_PER_SECOND));
        return Duration.between(now, reservedUntil);
    }

    /**
     * Returns the time until all reserved transfers have ended.
     *
     * @param now present time
     * @return zero if the link is free
     */
    public synchronized Duration backlog(Instant now) {
        return reservedUntil.isAfter(now) ? Duration.between(now, reservedUntil) : Duration.ZERO;
    }
}
