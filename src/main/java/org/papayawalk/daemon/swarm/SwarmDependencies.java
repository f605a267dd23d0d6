package org.papayawalk.daemon.swarm;

import org.papayawalk.core.port.Origin;

/**
 * Services that a swarm uses. Immutable.
 *
 * @param transport sends chunk messages to peers
 * @param origin origin of the weights
 * @param stagingArea staging area of the engine
 * @param manifestParser parses and verifies manifests
 * @param membership provides the hosts that want a version
 */
public record SwarmDependencies(
        ChunkTransport transport,
        Origin origin,
        StagingArea stagingArea,
        ManifestParser manifestParser,
        SwarmMembership membership) {}
