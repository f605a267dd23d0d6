package org.papayawalk.core;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that starts at the wall time and then follows the monotonic timer, so that it never jumps.
 * Thread-safe.
 */
public final class MonotonicClock implements InstantSource {
    /** Wall time at the start. */
    private final Instant startTime = Instant.now();

    /** Timer at the start, in nanoseconds. */
    private final long startNanos = System.nanoTime();

    @Override
    public Instant instant() {
        return startTime.plusNanos(System.nanoTime() - startNanos);
    }
}
