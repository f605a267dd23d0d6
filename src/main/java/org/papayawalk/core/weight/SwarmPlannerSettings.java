package org.papayawalk.core.weight;

import java.time.Duration;
import org.papayawalk.core.id.RegionId;

/**
 * Settings of a {@link SwarmPlanner}. Immutable.
 *
 * @param policy goal that the deployment prefers
 * @param originRegion region of the origin; its hosts fetch from the origin first
 * @param maxRequests maximum number of in-flight requests to sources, at least 1; counted apart for
 *     chunks that neighbors offer and for fallback requests
 * @param maxOriginRequests maximum number of in-flight requests to the origin, at least 1
 * @param relay whether the host is a relay; a relay fetches chunks by ascending index, the order in
 *     which its clients request them
 * @param offerWait time in which a neighbor may offer a chunk that is assigned to this host, before
 *     the host fetches it; zero if no neighbor can hold one
 */
public record SwarmPlannerSettings(
        DistributionPolicy policy,
        RegionId originRegion,
        int maxRequests,
        int maxOriginRequests,
        boolean relay,
        Duration offerWait) {
    /** Time for a neighbor's first offer, if neighbors may hold chunks. */
    public static final Duration OFFER_WAIT = Duration.ofMillis(150);

    /**
     * Creates the settings of a host that is not a relay.
     *
     * @param policy goal that the deployment prefers
     * @param originRegion region of the origin
     * @param maxRequests maximum number of in-flight requests of each kind, at least 1
     * @param maxOriginRequests maximum number of in-flight requests to the origin, at least 1
     */
    public SwarmPlannerSettings(
            DistributionPolicy policy,
            RegionId originRegion,
            int maxRequests,
            int maxOriginRequests) {
        this(policy, originRegion, maxRequests, maxOriginRequests, false, OFFER_WAIT);
    }
}
