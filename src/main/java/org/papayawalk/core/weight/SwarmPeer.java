package org.papayawalk.core.weight;

import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Agent that wants the same version. Immutable.
 *
 * @param host name of its host
 * @param region region of its host
 */
public record SwarmPeer(HostId host, RegionId region) {}
