package org.papayawalk.core.weight;

/**
 * Decides how many requests each fetching host keeps in flight at the origin. Answers the load of a
 * slow origin: its link stays in use while one request of a host ends and the next one opens its
 * connection, also when the other hosts have fetched all that is assigned to them. Stateless;
 * thread-safe.
 */
public final class OriginShare {
    private static final int MAX_REQUESTS_PER_HOST = 4;

    private OriginShare() {}

    /**
     * Returns the requests of one host.
     *
     * @param maxConnections connections that the origin accepts from all hosts together
     * @param hosts hosts that fetch from the origin, at least 1
     * @return 1 to 4
     */
    public static int requestsPerHost(int maxConnections, int hosts) {
        return Math.max(1, Math.min(MAX_REQUESTS_PER_HOST, maxConnections / Math.max(1, hosts)));
    }
}
