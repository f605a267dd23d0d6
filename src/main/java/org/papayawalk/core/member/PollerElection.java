package org.papayawalk.core.member;

import java.util.List;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;

/**
 * Names the daemons of a failure domain that read the table service, so that its load does not grow
 * with the number of daemons. Holds no state; safe from any thread.
 */
public final class PollerElection {
    /** Pollers of one failure domain; the second covers for the loss of the first. */
    public static final int POLLERS_PER_DOMAIN = 2;

    /**
     * Tells whether a host polls for its failure domain.
     *
     * @param self host that asks
     * @param domainHosts hosts of its failure domain that are presumed alive
     * @return true if it is one of the pollers
     */
    public boolean isPoller(HostId self, List<HostId> domainHosts) {
        return RendezvousHash.rank(self, domainHosts, "config-poller") < POLLERS_PER_DOMAIN;
    }
}
