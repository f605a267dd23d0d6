package org.papayawalk.core.member;

import java.time.Instant;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.rollout.RolloutStep;

/**
 * Report of a daemon on its own state, as received in a heartbeat. Immutable.
 *
 * @param host name of the daemon's host
 * @param domain failure domain of the daemon
 * @param role role of the daemon
 * @param incarnation start time of the daemon's process, in milliseconds since the epoch
 * @param configVersion version of the configuration in force at the daemon
 * @param draining whether the daemon refuses new work
 * @param fleet fleet of the upstream, empty if the daemon is an entry
 * @param serving digest of the version that the upstream serves, {@link Digest#NONE} if unknown
 * @param step progress of the rollout on the host
 * @param inFlight number of requests that run at the upstream
 * @param queued number of requests that wait at the agent
 * @param capacity number of requests that the upstream runs concurrently
 * @param upstreamHealthy whether the upstream responds
 * @param wanted digest of the version that the configuration wants, {@link Digest#NONE} for a
 *     service
 * @param chunksHeld number of chunks of the wanted version that the agent has verified
 * @param chunksTotal number of chunks of the wanted version, 0 if unknown
 * @param receivedAt time of receipt, by the monotonic clock of the receiving daemon
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
