package org.papayawalk.core.weight;

import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Host that wants the same version. Immutable.
 *
 * @param host name of the host
 * @param region region of the host
 * @param relay whether it fetches for others, over a fast link
 */
public record SwarmPeer(HostId host, RegionId region, boolean relay) {

    /**
     * Creates a peer that fetches for itself.
     *
     * @param host name of the host
     * @param region region of the host
     */
    public SwarmPeer(HostId host, RegionId region) {
        this(host, region, false);
    }
}
