package org.papayawalk.lab.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Load report of an engine stand-in that lags behind the real load. Thread-safe: one lock. */
final class DelayedLoad {
    private static final Duration REPORT_DELAY = Duration.ofMillis(500);

    // Samples that are not reported yet, oldest first.
    private final Deque<Sample> samples = new ArrayDeque<>();

    private int reported;

    /**
     * Records the present load and reports the load before the delay.
     *
     * @param running number of requests that run now
     * @param now present time
     * @return number of requests that ran 500 ms ago, 0 before the first sample is that old
     */
    synchronized int recordAndReport(int running, Instant now) {
        samples.addLast(new Sample(running, now));
        while (!samples.isEmpty() && !samples.peekFirst().at().plus(REPORT_DELAY).isAfter(now)) {
            reported = samples.removeFirst().running();
        }
        return reported;
    }

    private record Sample(int running, Instant at) {}
}
