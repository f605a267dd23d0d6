package org.papayawalk.core.route;

import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;

/**
 * Host that may take a request. Immutable.
 *
 * @param host name of the host
 * @param domain its failure domain
 * @param address IP number and port of its agent
 * @param serving digest that its upstream reports, none for a service
 * @param load requests that run or wait there, as estimated by this daemon
 * @param capacity requests that its upstream runs at once, at least 1
 */
public record RouteCandidate(
        HostId host, DomainId domain, String address, Digest serving, int load, int capacity) {

    /**
     * Returns the load in relation to the capacity.
     *
     * @return 1 if the upstream is full and nothing waits
     */
    public double utilization() {
        return (double) load / capacity;
    }
}
