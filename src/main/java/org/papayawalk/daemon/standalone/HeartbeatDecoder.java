package org.papayawalk.daemon.standalone;

import java.time.Instant;
import org.papayawalk.core.id.ConfigVersion;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.HostRole;
import org.papayawalk.core.member.PeerReport;
import org.papayawalk.core.rollout.RolloutStep;
import org.papayawalk.wire.proto.Heartbeat;
import org.papayawalk.wire.proto.Role;

/** Decodes heartbeat messages into peer reports. Stateless and thread-safe. */
public final class HeartbeatDecoder {
    private HeartbeatDecoder() {}

    /**
     * Decodes a heartbeat.
     *
     * @param h received heartbeat
     * @param now time at which it was received
     * @return report with that time
     * @throws IllegalArgumentException if a name or digest is malformed
     */
    public static PeerReport decode(Heartbeat h, Instant now) {
        return new PeerReport(
                new HostId(h.getHost()),
                new DomainId(h.getDomain()),
                h.getRole() == Role.ENTRY ? HostRole.ENTRY : HostRole.AGENT,
                h.getIncarnation(),
                new ConfigVersion(h.getConfigVersion()),
                h.getDraining(),
                h.getFleet(),
                new Digest(h.getServingDigest()),
                decodeStep(h.getRolloutStep()),
                h.getInFlight(),
                h.getQueued(),
                h.getCapacity(),
                h.getUpstreamHealthy(),
                new Digest(h.getWantedDigest()),
                h.getChunksHeld(),
                h.getChunksTotal(),
                now);
    }

    // A step added by a later release decodes as UNKNOWN.
    private static RolloutStep decodeStep(String name) {
        for (RolloutStep step : RolloutStep.values()) {
            if (step.name().equals(name)) {
                return step;
            }
        }
        return RolloutStep.UNKNOWN;
    }
}
