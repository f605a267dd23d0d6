package org.papayawalk.core;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Monotonic clock: starts at the wall time and then follows {@link System#nanoTime()}, so that it
 * does not change when the wall clock is set. Thread-safe.
 */
public final class MonotonicClock implements InstantSource {
    // Wall time at creation.
    private final Instant startTime = Instant.now();

    private final long startNanos = System.nanoTime();

    @Override
    public Instant instant() {
        return startTime.plusNanos(System.nanoTime() - startNanos);
    }
}
