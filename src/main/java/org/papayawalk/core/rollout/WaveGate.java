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
 * Bounds the number of hosts of one fleet and failure domain that switch at the same time, without
 * a coordinator. All hosts use the same order. With a bound of w, the host at index p waits until
 * the host at index p - w serves the wanted version. This makes w chains, and each chain switches
 * one host at a time. A host that serves the version does not return to the old one, so a stale
 * report of a predecessor can only delay a switch. Stateless; thread-safe.
 */
public final class WaveGate {
    /**
     * Time after which a host that has staged the version no longer waits for a predecessor that
     * has not.
     */
    public static final Duration STRAGGLER_TIMEOUT = Duration.ofSeconds(30);

    /** Maximum number of predecessors that a host exchanges heartbeats with. */
    public static final int MAX_PREDECESSORS = 3;

    /**
     * Returns the hosts whose progress determines when a host may switch.
     *
     * @param self host in question
     * @param order hosts of the fleet and failure domain in the order of the rollout
     * @param maxUnavailable maximum number of hosts that switch at once, at least 1
     * @return predecessors in its chain, nearest first; at most {@link #MAX_PREDECESSORS}
     */
    public List<HostId> predecessors(HostId self, List<HostId> order, int maxUnavailable) {
        int index = order.indexOf(self);
        List<HostId> chain = new ArrayList<>();
        for (int i = index - maxUnavailable; i >= 0; i -= maxUnavailable) {
            if (chain.size() == MAX_PREDECESSORS) {
                break;
            }
            chain.add(order.get(i));
        }
        return chain;
    }

    /**
     * Returns the host that waits for a host, so that it can be notified without delay.
     *
     * @param self host in question
     * @param order hosts of the fleet and failure domain in the order of the rollout
     * @param maxUnavailable maximum number of hosts that switch at once, at least 1
     * @return successor in its chain, or empty for the last host and for unknown hosts
     */
    public Optional<HostId> successor(HostId self, List<HostId> order, int maxUnavailable) {
        int index = order.indexOf(self);
        int next = index + maxUnavailable;
        return index < 0 || next >= order.size() ? Optional.empty() : Optional.of(order.get(next));
    }

    /**
     * Returns whether a host may switch now. Predecessors that are unknown, not presumed alive or
     * leaving are skipped, and after {@link #STRAGGLER_TIMEOUT} also those that have not staged the
     * version.
     *
     * @param predecessors predecessors in its chain, nearest first
     * @param members known members by host
     * @param wanted version to switch to
     * @param stagedAt when this host had staged the version
     * @param now present time
     * @return true if the nearest predecessor that is not skipped serves the version, or if all are
     *     skipped
     */
    public boolean maySwitch(
            List<HostId> predecessors,
            Map<HostId, Member> members,
            Digest wanted,
            Instant stagedAt,
            Instant now) {
        boolean timedOut = Duration.between(stagedAt, now).compareTo(STRAGGLER_TIMEOUT) > 0;
        for (HostId host : predecessors) {
            Optional<Member> member = Optional.ofNullable(members.get(host));
            if (member.isEmpty() || !member.get().presumedAlive(now) || member.get().leaving()) {
                continue;
            }
            Optional<PeerReport> report = member.get().report();
            if (report.isPresent() && report.get().serving().equals(wanted)) {
                return true;
            }
            boolean straggling =
                    report.isEmpty()
                            || !report.get().wanted().equals(wanted)
                            || report.get().step() == RolloutStep.FETCHING
                            || report.get().step() == RolloutStep.UNKNOWN;
            if (!(timedOut && straggling)) {
                return false;
            }
        }
        return true;
    }
}
