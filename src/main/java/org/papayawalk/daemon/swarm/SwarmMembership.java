package org.papayawalk.daemon.swarm;

import java.time.Instant;
import java.util.List;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.weight.SwarmPeer;

/** Provides the hosts that want a version. Implementations are thread-safe. */
public interface SwarmMembership {

    /**
     * Returns the hosts that want a version and are presumed alive.
     *
     * @param digest digest of the manifest
     * @param now present time
     * @return those hosts, including this one
     */
    List<SwarmPeer> peers(Digest digest, Instant now);
}
