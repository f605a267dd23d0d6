package org.papayawalk.core.member;

import java.util.List;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;

/**
 * Selects the daemons of a failure domain that poll the table service, so that the load on the
 * service does not grow with the number of daemons. Each daemon computes the same result from the
 * same hosts. Stateless; thread-safe.
 */
public final class PollerElection {
    /** Pollers in each failure domain; the second one takes the place of the first if it fails. */
    public static final int POLLERS_PER_DOMAIN = 2;

    /**
     * Returns whether a host polls on behalf of its failure domain.
     *
     * @param self host in question
     * @param domainHosts hosts of its failure domain that are presumed alive
     * @return true if the host is one of the pollers
     */
    public boolean isPoller(HostId self, List<HostId> domainHosts) {
        return RendezvousHash.rank(self, domainHosts, "config-poller") < POLLERS_PER_DOMAIN;
    }
}
