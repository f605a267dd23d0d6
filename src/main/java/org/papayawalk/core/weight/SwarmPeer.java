package org.papayawalk.core.weight;

import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Host that downloads the same version. Immutable.
 *
 * @param host name of the host
 * @param region region of the host
 * @param relay whether the host is a relay: it fetches versions in order to serve them to other
 *     hosts of its region
 */
public record SwarmPeer(HostId host, RegionId region, boolean relay) {

    /**
     * Creates a peer that is not a relay.
     *
     * @param host name of the host
     * @param region region of the host
     */
    public SwarmPeer(HostId host, RegionId region) {
        this(host, region, false);
    }
}
