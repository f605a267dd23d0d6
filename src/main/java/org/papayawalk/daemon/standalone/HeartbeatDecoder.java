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

/** Turns heartbeats into reports. Holds no state; safe from any thread. */
public final class HeartbeatDecoder {

    /** Prevents instances. */
    private HeartbeatDecoder() {}

    /**
     * Reads a heartbeat.
     *
     * @param h heartbeat received
     * @param now present time
     * @return the report
     * @throws IllegalArgumentException if a name or digest is malformed
     */
    public static PeerReport read(Heartbeat h, Instant now) {
        return new PeerReport(
                new HostId(h.getHost()),
                new DomainId(h.getDomain()),
                h.getRole() == Role.ENTRY ? HostRole.ENTRY : HostRole.AGENT,
                h.getIncarnation(),
                new ConfigVersion(h.getConfigVersion()),
                h.getDraining(),
                h.getFleet(),
                new Digest(h.getServingDigest()),
                step(h.getRolloutStep()),
                h.getInFlight(),
                h.getQueued(),
                h.getCapacity(),
                h.getUpstreamHealthy(),
                new Digest(h.getWantedDigest()),
                h.getChunksHeld(),
                h.getChunksTotal(),
                now);
    }

    /**
     * Reads a rollout step.
     *
     * @param name name of the step
     * @return the step, unknown if the name is from a later release
     */
    private static RolloutStep step(String name) {
        for (RolloutStep step : RolloutStep.values()) {
            if (step.name().equals(name)) {
                return step;
            }
        }
        return RolloutStep.UNKNOWN;
    }
}
