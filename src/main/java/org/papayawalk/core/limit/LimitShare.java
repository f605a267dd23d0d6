package org.papayawalk.core.limit;

import java.time.Duration;

/**
 * Share of one entry in the limit of an upstream. The limit is divided evenly among the entries
 * that rank first for the upstream. Each of them may send one request ahead of its pace, so there
 * are only as many as the upstream can take at once. Immutable.
 *
 * @param sharers number of entries that share the limit, at least 1
 * @param rank rank of this entry for the upstream, 0 for the first; it sends only if the rank is
 *     below the number of sharers
 * @param interval least time between two requests of one sharer
 */
public record LimitShare(int sharers, int rank, Duration interval) {
    // Not more than send to an engine when no limit is stated.
    private static final int MAX_SHARERS = 8;

    // Sharers beyond the first, for each request per second.
    private static final double SHARERS_PER_RATE = 2;

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
        int most = (int) Math.min(MAX_SHARERS, 1 + perSecond * SHARERS_PER_RATE);
        int sharers = Math.min(entries, most);
        double nanos = sharers / Math.max(perSecond, MIN_PER_SECOND) * NANOS_PER_SECOND;
        return new LimitShare(sharers, rank, Duration.ofNanos((long) nanos));
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
     * Returns how long the entry waits before its first request, so that the sharers do not send at
     * the same time.
     *
     * @return delay after the entry learned of the limit
     */
    public Duration firstDelay() {
        return interval.multipliedBy(rank + 1L).dividedBy(sharers);
    }
}
