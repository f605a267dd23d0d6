package org.papayawalk.core;

import java.time.Duration;
import java.time.Instant;

/**
 * Time of a thread that reads what peers send: the present time without the standstills of the
 * thread, such as pauses of its process. What comes during a standstill lies unread, so that it is
 * no silence of a peer. Running time never gets ahead of the present time. Confined to one thread.
 */
public final class RunningTime {
    /** Pause after a tick until the next one. */
    public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** Time between two ticks from which on it counts as a standstill, as a whole. */
    public static final Duration STANDSTILL = Duration.ofMillis(150);

    private Instant tickAt;

    private Duration stoodStill = Duration.ZERO;

    /** Whether the last tick ended a standstill. */
    private boolean resuming;

    /**
     * Starts the running time.
     *
     * @param now present time
     */
    public RunningTime(Instant now) {
        tickAt = now;
    }

    /**
     * Records that the thread runs. It must read what has come between two calls.
     *
     * @param now present time
     */
    public void tick(Instant now) {
        resuming = standsStill(now);
        if (resuming) {
            stoodStill = stoodStill.plus(Duration.between(tickAt, now));
        }
        tickAt = now;
    }

    /**
     * Converts the present time.
     *
     * @param now present time
     * @return running time
     */
    public Instant at(Instant now) {
        return (standsStill(now) ? tickAt : now).minus(stoodStill);
    }

    /**
     * Returns whether the thread has read what came during its last standstill.
     *
     * @param now present time
     * @return false from the begin of a standstill to the second tick after it
     */
    public boolean isSettled(Instant now) {
        return !resuming && !standsStill(now);
    }

    private boolean standsStill(Instant now) {
        return !tickAt.plus(STANDSTILL).isAfter(now);
    }
}
