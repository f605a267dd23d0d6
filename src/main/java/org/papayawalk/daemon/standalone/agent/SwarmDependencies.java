package org.papayawalk.daemon.standalone.agent;

import org.papayawalk.core.port.Origin;

/**
 * What a swarm talks to. Immutable.
 *
 * @param transport messages to peers
 * @param origin origin of the weights
 * @param stager writes chunks to the engine
 * @param reader reads manifests
 * @param view hosts that want a version
 */
public record SwarmDependencies(
        ChunkTransport transport,
        Origin origin,
        StagingArea stager,
        ManifestParser reader,
        SwarmMembership view) {}
