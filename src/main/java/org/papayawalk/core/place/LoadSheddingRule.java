package org.papayawalk.core.place;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides how long a request may wait for capacity, and after which time a refused caller may
 * retry. Sheds load that exceeds the capacity of the upstreams: a request that has waited for a
 * certain share of its target latency would be late anyway, so its place goes to one that can still
 * be on time. While no upstream can answer at all, requests are refused at once, and their callers
 * retry when the first upstream is expected to have recovered. An entry that has just started, and
 * has not seen an upstream that can answer, expects one sooner: if all hosts were restarted, the
 * engines load what is staged beside them. Immutable.
 *
 * @param maxWaitShare longest wait for capacity, as a share of the target latency
 * @param maxLateWaitShare the same for a request that is late already; it waits longer, because it
 *     gets only what those that can be on time leave
 * @param minRetryAfter shortest time after which a refused caller may retry
 * @param retryJitter upper bound of the random delay that keeps callers from retrying together
 * @param recoveryTime expected time from the failure of all upstreams until the first one answers
 * @param startTime the same from the start of an entry that has not seen an upstream which can
 *     answer
 */
public record LoadSheddingRule(
        double maxWaitShare,
        double maxLateWaitShare,
        Duration minRetryAfter,
        Duration retryJitter,
        Duration recoveryTime,
        Duration startTime) {
    /** Rule used in production; the lab compares it with others. */
    public static final LoadSheddingRule DEFAULT =
            new LoadSheddingRule(
                    0.2,
                    1.0,
                    Duration.ofMillis(400),
                    Duration.ofMillis(900),
                    Duration.ofMillis(4000),
                    Duration.ofMillis(1500));

    /** Time that a retry needs in addition to its target latency. */
    private static final Duration RETRY_MARGIN = Duration.ofMillis(200);

    /**
     * Returns how long a request may wait for capacity.
     *
     * @param target target latency, within which the answer has its full value
     * @param late whether the target latency has passed since the caller's first attempt
     * @param outage time for which no upstream has been able to answer, empty if one can
     * @return longest wait, counted from the time at which the request was read
     */
    public Duration maxWait(Duration target, boolean late, Optional<Outage> outage) {
        double share = late ? maxLateWaitShare : maxWaitShare;
        return outage.isPresent()
                ? Duration.ZERO
                : Duration.ofMillis((long) (target.toMillis() * share));
    }

    /**
     * Returns the delay after which a refused caller may retry. The delay leaves the caller enough
     * time for an answer on target, but is never shorter than the minimum.
     *
     * @param target target latency, within which the answer has its full value
     * @param timeLeft time until the caller's deadline
     * @param outage time for which no upstream has been able to answer, empty if one can
     * @param draw random number from 0 (inclusive) to 1 (exclusive) that sets the jitter
     * @return delay from now
     */
    public Duration retryAfter(
            Duration target, Duration timeLeft, Optional<Outage> outage, double draw) {
        long recovery = outage.map(o -> expected(o).minus(o.lasting()).toMillis()).orElse(0L);
        long least = minRetryAfter.toMillis();
        long wanted = Math.max(least, recovery) + (long) (retryJitter.toMillis() * draw);
        long latest = timeLeft.minus(target).minus(RETRY_MARGIN).toMillis();
        return Duration.ofMillis(Math.max(least, Math.min(wanted, latest)));
    }

    /**
     * Returns the delay after which a refused caller may retry if it is known when an upstream
     * takes requests again. The deadline of the caller does not shorten it, as an earlier retry
     * would be in vain.
     *
     * @param untilAvailable time until an upstream takes requests again
     * @param draw random number from 0 (inclusive) to 1 (exclusive) that sets the jitter
     * @return delay from now
     */
    public Duration retryAfter(Duration untilAvailable, double draw) {
        long jitter = (long) (retryJitter.toMillis() * draw);
        boolean isShort = untilAvailable.compareTo(minRetryAfter) < 0;
        return (isShort ? minRetryAfter : untilAvailable).plusMillis(jitter);
    }

    private Duration expected(Outage outage) {
        return outage.sinceStart() ? startTime : recoveryTime;
    }

    /**
     * State in which no upstream of a service can answer. Immutable.
     *
     * @param lasting time since this entry noticed it
     * @param sinceStart whether this entry has not seen an upstream that can answer since its start
     */
    public record Outage(Duration lasting, boolean sinceStart) {}
}
