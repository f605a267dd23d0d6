package org.papayawalk.core.member;

import java.time.Instant;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.rollout.RolloutStep;

/**
 * What a daemon said of itself. Immutable.
 *
 * @param host name of its host
 * @param domain its failure domain
 * @param role its role
 * @param incarnation start time of its process in milliseconds since the epoch
 * @param configVersion configuration in force on it
 * @param draining whether it refuses new work
 * @param fleet fleet of its upstream, empty for an entry
 * @param serving digest that its upstream reports, none if unknown
 * @param step how far its rollout is
 * @param inFlight requests that run at its upstream
 * @param queued requests that wait at it
 * @param capacity requests that its upstream runs at once
 * @param upstreamHealthy whether its upstream answers
 * @param wanted digest that its configuration wants, none for a service
 * @param chunksHeld chunks of the wanted version that it has verified
 * @param chunksTotal chunks of the wanted version, 0 if unknown
 * @param receivedAt when this was received
 */
public record PeerReport(
        HostId host,
        DomainId domain,
        HostRole role,
        long incarnation,
        ConfigVersion configVersion,
        boolean draining,
        String fleet,
        Digest serving,
        RolloutStep step,
        int inFlight,
        int queued,
        int capacity,
        boolean upstreamHealthy,
        Digest wanted,
        int chunksHeld,
        int chunksTotal,
        Instant receivedAt) {}
