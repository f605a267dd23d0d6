package org.papayawalk.core.weight;

import org.papayawalk.core.id.RegionId;

/**
 * Settings of a download. Immutable.
 *
 * @param policy what the deployment weighs more
 * @param originRegion region in which the origin stands; its hosts fetch from the origin first
 * @param maxRequests chunks asked for at once, at least 1
 * @param maxOriginRequests chunks asked from the origin at once, at least 1
 */
public record DownloadSettings(
        DistributionPolicy policy, RegionId originRegion, int maxRequests, int maxOriginRequests) {}
