package org.papayawalk.daemon.standalone.agent;

import org.papayawalk.core.id.FleetId;
import org.papayawalk.daemon.swarm.WeightSettings;

/**
 * Settings of an agent. Immutable.
 *
 * @param fleet fleet that the upstream belongs to
 * @param upstreamAddress IP address and port of the upstream
 * @param weights settings of the distribution of weights
 */
public record AgentSettings(FleetId fleet, String upstreamAddress, WeightSettings weights) {}
