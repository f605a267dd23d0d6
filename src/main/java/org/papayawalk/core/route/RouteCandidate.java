package org.papayawalk.core.route;

import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;

/**
 * Host that a {@link Router} may select for a request. Immutable.
 *
 * @param host name of the host
 * @param domain failure domain of the host
 * @param address IP address and port of the agent on the host
 * @param serving digest of the version that the upstream reports, {@link Digest#NONE} for a service
 * @param load estimated number of requests that run or wait at the host
 * @param capacity number of requests that the upstream runs concurrently, at least 1
 */
public record RouteCandidate(
        HostId host, DomainId domain, String address, Digest serving, int load, int capacity) {

    /**
     * Returns the load divided by the capacity.
     *
     * @return 0 or more; 1 if the upstream is full and no request waits
     */
    public double utilization() {
        return (double) load / capacity;
    }
}
