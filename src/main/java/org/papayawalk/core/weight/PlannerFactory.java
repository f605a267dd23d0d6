package org.papayawalk.core.weight;

import java.time.Instant;
import org.papayawalk.core.id.Digest;

/** Creates the planner of a version's download. Implementations are safe from any thread. */
public interface PlannerFactory {

    /**
     * Creates a planner.
     *
     * @param self identity of the host
     * @param digest digest of the manifest
     * @param manifest manifest
     * @param startedAt present time
     * @return planner without chunks
     */
    ChunkPlanner create(SwarmPeer self, Digest digest, Manifest manifest, Instant startedAt);
}
