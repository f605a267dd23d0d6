package org.papayawalk.core.place;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides how long a request waits for room and when a refused caller comes back. Answers a demand
 * beyond what the upstreams can serve: a request that has waited for this part of its target would
 * be late anyway, and its place is worth more to one that is still in time. While no upstream can
 * answer at all, a request is refused at once and its caller comes back when the first are expected
 * to answer. Immutable.
 *
 * @param maxWaitShare part of the target that a request waits for room
 * @param minRetryAfter shortest time after which a refused caller comes back
 * @param retryJitter spread of the returns, so that callers do not return together
 * @param recoveryTime time in which the first upstream answers again once none could
 */
public record LoadSheddingRule(
        double maxWaitShare, Duration minRetryAfter, Duration retryJitter, Duration recoveryTime) {
    /** Rule of the product. */
    public static final LoadSheddingRule DEFAULT =
            new LoadSheddingRule(
                    0.2, Duration.ofMillis(400), Duration.ofMillis(900), Duration.ofMillis(4000));

    /** Time that a caller needs besides its target when it comes back. */
    private static final Duration RETRY_MARGIN = Duration.ofMillis(200);

    /**
     * Returns how long a request waits for room.
     *
     * @param target time within which its answer earns its full benefit
     * @param noneAbleFor time for which no upstream could answer, empty if one can
     * @return time since the request was read
     */
    public Duration maxWait(Duration target, Optional<Duration> noneAbleFor) {
        return noneAbleFor.isPresent()
                ? Duration.ZERO
                : Duration.ofMillis((long) (target.toMillis() * maxWaitShare));
    }

    /**
     * Returns when a refused caller may come back.
     *
     * @param target time within which its answer earns its full benefit
     * @param timeLeft time for which the caller goes on waiting
     * @param noneAbleFor time for which no upstream could answer, empty if one can
     * @param draw random number from 0 up to but not including 1
     * @return time from now
     */
    public Duration retryAfter(
            Duration target, Duration timeLeft, Optional<Duration> noneAbleFor, double draw) {
        long restart = noneAbleFor.map(d -> recoveryTime.minus(d).toMillis()).orElse(0L);
        long least = minRetryAfter.toMillis();
        long wanted = Math.max(least, restart) + (long) (retryJitter.toMillis() * draw);
        long latest = timeLeft.minus(target).minus(RETRY_MARGIN).toMillis();
        return Duration.ofMillis(Math.max(least, Math.min(wanted, latest)));
    }
}
