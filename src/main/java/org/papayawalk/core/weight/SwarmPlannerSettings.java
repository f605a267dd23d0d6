package org.papayawalk.core.weight;

import org.papayawalk.core.id.RegionId;

/**
 * Settings of a download. Immutable.
 *
 * @param policy what the deployment weighs more
 * @param originRegion region in which the origin stands; its hosts fetch from the origin first
 * @param maxRequests chunks asked for at once, at least 1
 * @param maxOriginRequests chunks asked from the origin at once, at least 1
 * @param relay whether the host fetches for others: in the order in which they ask
 */
public record SwarmPlannerSettings(
        DistributionPolicy policy,
        RegionId originRegion,
        int maxRequests,
        int maxOriginRequests,
        boolean relay) {

    /**
     * Creates the settings of a host that fetches for itself.
     *
     * @param policy what is weighed most
     * @param originRegion region of the origin
     * @param maxRequests requests to peers that are under way at once
     * @param maxOriginRequests requests to the origin that are under way at once
     */
    public SwarmPlannerSettings(
            DistributionPolicy policy,
            RegionId originRegion,
            int maxRequests,
            int maxOriginRequests) {
        this(policy, originRegion, maxRequests, maxOriginRequests, false);
    }
}
