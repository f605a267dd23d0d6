package org.papayawalk.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.member.PeerReport;

/**
 * Bounds how many hosts of one fleet and failure domain switch at once, without a coordinator. The
 * hosts stand in one order; with a bound of w, the host at place p waits until the host at p - w
 * serves the wanted version. That makes w chains, and each chain switches one host at a time.
 * Serving is never undone for a version, so an old report of a predecessor only delays. Holds no
 * state; safe from any thread.
 */
public final class WaveGate {
    /** Time after which a predecessor that has not staged the version is passed over. */
    public static final Duration STRAGGLER_TIMEOUT = Duration.ofSeconds(30);

    /** Predecessors in its chain that a host keeps in touch with. */
    public static final int MAX_PREDECESSORS = 3;

    /**
     * Returns the hosts whose progress decides when a host may switch.
     *
     * @param self host that asks
     * @param order hosts of the fleet and failure domain in the order of the rollout
     * @param maxUnavailable hosts that may switch at once, at least 1
     * @return predecessors in its chain, nearest first
     */
    public List<HostId> predecessors(HostId self, List<HostId> order, int maxUnavailable) {
        int place = order.indexOf(self);
        List<HostId> chain = new ArrayList<>();
        for (int i = place - maxUnavailable; i >= 0; i -= maxUnavailable) {
            if (chain.size() == MAX_PREDECESSORS) {
                break;
            }
            chain.add(order.get(i));
        }
        return chain;
    }

    /**
     * Returns the host that waits for a host, so that it can be told at once.
     *
     * @param self host that asks
     * @param order hosts of the fleet and failure domain in the order of the rollout
     * @param maxUnavailable hosts that may switch at once, at least 1
     * @return successor in its chain, or empty for the last
     */
    public Optional<HostId> successor(HostId self, List<HostId> order, int maxUnavailable) {
        int place = order.indexOf(self);
        int next = place + maxUnavailable;
        return place < 0 || next >= order.size() ? Optional.empty() : Optional.of(order.get(next));
    }

    /**
     * Tells whether a host may switch now.
     *
     * @param predecessors hosts before it in its chain, nearest first
     * @param members what is known of them
     * @param wanted version to switch to
     * @param stagedAt when this host had staged it
     * @param now present time
     * @return true if the nearest predecessor that counts serves the version, or none counts
     */
    public boolean maySwitch(
            List<HostId> predecessors,
            Map<HostId, Member> members,
            Digest wanted,
            Instant stagedAt,
            Instant now) {
        boolean late = Duration.between(stagedAt, now).compareTo(STRAGGLER_TIMEOUT) > 0;
        for (HostId host : predecessors) {
            Optional<Member> member = Optional.ofNullable(members.get(host));
            if (member.isEmpty() || !member.get().presumedAlive(now) || member.get().leaving()) {
                continue;
            }
            Optional<PeerReport> report = member.get().report();
            if (report.isPresent() && report.get().serving().equals(wanted)) {
                return true;
            }
            boolean behind =
                    report.isEmpty()
                            || !report.get().wanted().equals(wanted)
                            || report.get().step() == RolloutStep.FETCHING
                            || report.get().step() == RolloutStep.UNKNOWN;
            if (!(late && behind)) {
                return false;
            }
        }
        return true;
    }
}
