package org.papayawalk.core.place;

import java.time.Duration;
import org.papayawalk.core.desired.RouteRule;

/**
 * Decides how long a request waits for room and when a refused caller comes back. Answers a demand
 * beyond what the engines can serve: a request that has waited for this part of its target would be
 * late anyway, and its place is worth more to one that is still in time. Holds no state; safe from
 * any thread.
 */
public final class WaitRule {
    /** Part of the target that a request waits for room. */
    private static final double TARGET_SHARE = 0.45;

    /** Shortest time after which a refused caller comes back. */
    private static final Duration MIN_RETURN = Duration.ofMillis(400);

    /** Spread of the times at which refused callers come back. */
    private static final Duration RETURN_SPREAD = Duration.ofMillis(900);

    /** Prevents instances. */
    private WaitRule() {}

    /**
     * Returns how long a request waits for room.
     *
     * @param route route of the request
     * @return time since the request was read
     */
    public static Duration limit(RouteRule route) {
        return Duration.ofMillis((long) (route.target().toMillis() * TARGET_SHARE));
    }

    /**
     * Returns when a refused caller may come back.
     *
     * @param draw random number from 0 up to but not including 1, so that callers do not return
     *     together
     * @return time from now
     */
    public static Duration retryAfter(double draw) {
        return MIN_RETURN.plusMillis((long) (RETURN_SPREAD.toMillis() * draw));
    }
}
