package org.papayawalk.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Share of one entry in the limit of an upstream. The limit is divided evenly among the entries
 * that rank first for the upstream. Each of them may send at least one request ahead of its pace,
 * so there are only as many as the upstream can take at once. Immutable.
 *
 * @param sharers number of entries that share the limit, at least 1
 * @param rank rank of this entry for the upstream, 0 for the first; it sends only if the rank is
 *     below the number of sharers
 * @param interval mean time between two requests of one sharer
 * @param burst requests that one sharer may send together after a pause, at least 1
 */
public record LimitShare(int sharers, int rank, Duration interval, int burst) {
    // Not more than send to an engine when no limit is stated.
    private static final int MAX_SHARERS = 8;

    // Time for which the requests of all sharers together may be ahead of the limit.
    private static final double BURST_SECONDS = 2;

    // Least rate of requests, as only an answer tells that the limit has ended.
    private static final double MIN_PER_SECOND = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Computes the share of an entry.
     *
     * @param perSecond limit in requests per second, 0 or more
     * @param rank rank of the entry for the upstream, 0 for the first
     * @param entries number of entries, at least 1
     * @return share
     */
    public static LimitShare of(double perSecond, int rank, int entries) {
        int ahead = (int) Math.min(Integer.MAX_VALUE, 1 + perSecond * BURST_SECONDS);
        int sharers = Math.min(Math.min(entries, MAX_SHARERS), ahead);
        double nanos = sharers / Math.max(perSecond, MIN_PER_SECOND) * NANOS_PER_SECOND;
        return new LimitShare(sharers, rank, Duration.ofNanos((long) nanos), ahead / sharers);
    }

    /**
     * Computes the share of an entry in a limit that holds for each second, so that nothing may be
     * ahead of the pace. In any second the sharers send as many requests as the limit and one each.
     *
     * @param perSecond limit in requests per second, above 0
     * @param rank rank of the entry for the upstream, 0 for the first
     * @param sharers number of entries that share the limit, at least 1
     * @return share
     */
    public static LimitShare strict(double perSecond, int rank, int sharers) {
        double nanos = Math.min(sharers / perSecond * NANOS_PER_SECOND, Long.MAX_VALUE / 2);
        return new LimitShare(sharers, rank, Duration.ofNanos((long) nanos), 1);
    }

    /**
     * Returns whether the entry sends requests to the upstream.
     *
     * @return true if it is one of the sharers
     */
    public boolean sends() {
        return rank < sharers;
    }

    /**
     * Returns from when the entry may send a request.
     *
     * @param paceAt time to which the requests sent so far use up the pace
     * @return time, earlier than the pace by the requests that may be sent together
     */
    public Instant earliest(Instant paceAt) {
        return paceAt.minus(interval.multipliedBy(burst - 1L));
    }

    /**
     * Returns the pace of an entry that has just learned of the limit. The sharers do not send at
     * the same time, and none sends a burst at once.
     *
     * @param now present time
     * @return time to which the pace counts as used up
     */
    public Instant startPace(Instant now) {
        Duration turn = interval.multipliedBy(rank + 1L).dividedBy(sharers);
        return now.plus(turn).plus(interval.multipliedBy(burst - 1L));
    }

    /**
     * Returns the pace after a request.
     *
     * @param paceAt time to which earlier requests use up the pace
     * @param now time of the request
     * @return time to which the pace is used up now
     */
    public Instant nextPace(Instant paceAt, Instant now) {
        return (paceAt.isAfter(now) ? paceAt : now).plus(interval);
    }
}
