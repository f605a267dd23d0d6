package org.papayawalk.lab.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Load of an engine stand-in as it was a while ago. Thread-safe: one lock. */
final class DelayedLoad {
    /** Age of the load that is reported. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(500);

    /** Samples, oldest first. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Load that is reported. */
    private int reported;

    /**
     * Takes a sample and reports an old one.
     *
     * @param running requests that run now
     * @param now present time
     * @return requests that ran a while ago
     */
    synchronized int recordAndReport(int running, Instant now) {
        samples.addLast(new Sample(running, now));
        while (!samples.isEmpty() && !samples.peekFirst().at().plus(REPORT_DELAY).isAfter(now)) {
            reported = samples.removeFirst().running();
        }
        return reported;
    }

    /**
     * Load at one moment. Immutable.
     *
     * @param running requests that ran
     * @param at moment
     */
    private record Sample(int running, Instant at) {}
}
