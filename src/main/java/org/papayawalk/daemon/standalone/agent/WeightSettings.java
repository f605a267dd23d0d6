package org.papayawalk.daemon.standalone.agent;

import org.papayawalk.core.weight.PlannerFactory;

/**
 * Settings of the distribution of weights. Immutable.
 *
 * @param planners creates the planner of each download
 * @param uplinkBytesPerSecond share of the link for sending chunks
 * @param downlinkBytesPerSecond share of the link for receiving chunks
 * @param memoryBytes most bytes of chunks held
 */
public record WeightSettings(
        PlannerFactory planners,
        double uplinkBytesPerSecond,
        double downlinkBytesPerSecond,
        long memoryBytes) {}
