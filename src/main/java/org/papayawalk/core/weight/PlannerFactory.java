package org.papayawalk.core.weight;

import java.time.Instant;
import org.papayawalk.core.id.Digest;

/** Creates the planner for the download of a version. Implementations are thread-safe. */
public interface PlannerFactory {

    /**
     * Creates a planner that holds no chunks.
     *
     * @param self identity of this host
     * @param digest digest of the manifest
     * @param manifest manifest of the version
     * @param startedAt time at which the download starts
     * @return new planner
     */
    ChunkPlanner create(SwarmPeer self, Digest digest, Manifest manifest, Instant startedAt);
}
