package org.papayawalk.core.limit;

/**
 * Bound of the requests that a cold upstream gets in any second from all entries together.
 * Immutable.
 *
 * @param overage multiple of the rate that the upstream tolerates, at least 1
 * @param slack requests beyond that, 0 or more
 */
public record ColdBound(double overage, double slack) {
    /** Bound of a platform that states none: the rate itself. */
    public static final ColdBound DEFAULT = new ColdBound(1, 0);

    // Entries that share an upstream; as many as share an engine.
    private static final int MAX_SHARERS = 8;

    // Part of the bound that the entries use when all of them know each other. The rest is for
    // requests that were on their way when the upstream became cold.
    private static final double USED_PART = 0.75;

    /**
     * Returns how many entries share an upstream.
     *
     * @param perSecond requests per second that the upstream tolerates
     * @return 1 to 8
     */
    int sharers(double perSecond) {
        double ahead = limit(perSecond) - Math.min(perSecond, limit(perSecond));
        return (int) Math.max(1, Math.min(MAX_SHARERS, ahead));
    }

    /**
     * Returns the rate at which all sharers together send.
     *
     * @param perSecond requests per second that the upstream tolerates
     * @param sharers number of sharers
     * @return requests per second, above 0; with one more from each sharer it is below the bound
     */
    double rate(double perSecond, int sharers) {
        double limit = limit(perSecond);
        return Math.min(perSecond, Math.max(limit - sharers, limit / 2));
    }

    private double limit(double perSecond) {
        return USED_PART * (perSecond * overage + slack);
    }
}
