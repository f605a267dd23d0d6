package org.papayawalk.core.weight;

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
 */
public record SwarmPlannerSettings(
        DistributionPolicy policy,
        RegionId originRegion,
        int maxRequests,
        int maxOriginRequests,
        boolean relay) {

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
        this(policy, originRegion, maxRequests, maxOriginRequests, false);
    }
}
