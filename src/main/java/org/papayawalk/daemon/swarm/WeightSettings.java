package org.papayawalk.daemon.swarm;

import org.papayawalk.core.weight.PlannerFactory;

/**
 * Settings of the distribution of weights. Immutable.
 *
 * @param plannerFactory creates the planner of each download
 * @param uplinkBytesPerSecond rate limit of the chunks sent to peers
 * @param downlinkBytesPerSecond rate limit of the chunks received
 * @param chunkMemoryBytes maximum number of bytes of cached chunks
 */
public record WeightSettings(
        PlannerFactory plannerFactory,
        double uplinkBytesPerSecond,
        double downlinkBytesPerSecond,
        long chunkMemoryBytes) {}
