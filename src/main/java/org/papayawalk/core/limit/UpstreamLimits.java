package org.papayawalk.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Limits that upstreams state in their answers, and the pace at which this entry sends to them. A
 * limit is known from an answer to this entry or from a notice of another entry. It ends with an
 * answer to this entry that states none. An entry that has no share in a limit sends one request to
 * learn whether the limit still holds, if it has not heard of it for a while or if another entry
 * tells that it was raised or has ended. So a notice that is wrong, as from an entry that was
 * frozen, costs one request at most.
 *
 * <p>Entries tell each other only what upstreams stated to themselves, so that the age of a limit
 * cannot be renewed by passing it on. Answers the load of several entries that send to the same
 * upstream: rendezvous hashing divides the limit among them without communication. Thread-safe.
 */
public final class UpstreamLimits {
    // Time without a statement after which an entry without a share sends a request.
    private static final Duration PROBE_AFTER = Duration.ofSeconds(10);

    // Delay between the probes of entries of successive ranks, in which an answer to the first one
    // reaches the others.
    private static final Duration PROBE_STEP = Duration.ofSeconds(1);

    // The same after a notice that the limit has been raised or has ended.
    private static final Duration HINT_STEP = Duration.ofMillis(500);

    private static final Duration NOTICE_RETENTION = Duration.ofSeconds(10);

    // Bound on the notices in a message, as entries exchange several messages a second.
    private static final int MAX_NOTICES = 16;

    // Time without a statement after which a limit is forgotten, as of a process that is gone.
    private static final Duration LIMIT_RETENTION = Duration.ofMinutes(10);

    private final HostId self;

    private final Supplier<Set<HostId>> otherEntries;

    // Limits by upstream process, also those that have ended lately. Guarded by this.
    private final Map<UpstreamProcess, Limit> limits = new HashMap<>();

    /**
     * Creates a registry without limits.
     *
     * @param self this entry
     * @param otherEntries supplies the other running entries; the sets are immutable
     */
    public UpstreamLimits(HostId self, Supplier<Set<HostId>> otherEntries) {
        this.self = self;
        this.otherEntries = otherEntries;
    }

    /**
     * Records an answer to this entry that states a limit.
     *
     * @param process upstream process that answered
     * @param perSecond requests per second that it takes from all entries together, 0 or more
     * @param now present time
     * @return whether no limit was in force before, or another one
     */
    public synchronized boolean stated(UpstreamProcess process, double perSecond, Instant now) {
        Limit known = limits.get(process);
        boolean same = known != null && known.inForce() && known.perSecond == perSecond;
        Limit limit = renew(process, perSecond, now, now);
        limit.statedHereAt = now;
        limit.perSecondStatedHere = perSecond;
        return !same;
    }

    /**
     * Records an answer to this entry that states no limit. Ignores it if its request was sent
     * before the last answer that stated one.
     *
     * @param process upstream process that answered
     * @param sentAt when the request was sent
     * @return whether this ended a limit
     */
    public synchronized boolean notStated(UpstreamProcess process, Instant sentAt) {
        Limit limit = limits.get(process);
        if (limit == null || !limit.inForce() || !sentAt.isAfter(limit.statedAt)) {
            return false;
        }
        limit.endedAt = sentAt;
        return true;
    }

    /**
     * Records what another entry tells of limits. Ignores what is older than the known limit or its
     * end.
     *
     * @param notices notices
     * @param now present time
     */
    public synchronized void heard(List<LimitNotice> notices, Instant now) {
        for (LimitNotice n : notices) {
            Instant at = now.minus(n.age());
            Limit known = limits.get(n.process());
            boolean newer =
                    known == null || (at.isAfter(known.statedAt) && at.isAfter(known.endedAt));
            if (newer && n.perSecond().isPresent()) {
                heardOfLimit(n.process(), n.perSecond().getAsDouble(), at, now);
            } else if (newer && known != null) {
                scheduleHintedProbe(n.process(), known, now);
            }
        }
    }

    /**
     * Returns what upstreams lately stated of their limits to this entry.
     *
     * @param now present time
     * @return at most 16 notices for other entries, the newest first
     */
    public synchronized List<LimitNotice> notices(Instant now) {
        List<LimitNotice> notices = new ArrayList<>();
        limits.forEach((process, limit) -> limit.notice(process, now).ifPresent(notices::add));
        notices.sort(Comparator.comparing(LimitNotice::age));
        return List.copyOf(notices.subList(0, Math.min(MAX_NOTICES, notices.size())));
    }

    /**
     * Returns whether this entry may send a request to an upstream now.
     *
     * @param process upstream process
     * @param now present time
     * @return false if its limit leaves this entry no request at present
     */
    public synchronized boolean admits(UpstreamProcess process, Instant now) {
        Limit limit = limits.get(process);
        if (limit == null || !limit.inForce()) {
            return true;
        }
        LimitShare share = share(process, limit);
        return share.sends()
                ? !share.earliest(limit.paceAt).isAfter(now)
                : !limit.probeAt.isAfter(now) || !limit.hintedProbeAt.isAfter(now);
    }

    /**
     * Records that this entry sends a request to an upstream.
     *
     * @param process upstream process
     * @param now present time
     */
    public synchronized void sent(UpstreamProcess process, Instant now) {
        Limit limit = limits.get(process);
        if (limit != null) {
            limit.paceAt = share(process, limit).nextPace(limit.paceAt, now);
            limit.probeAt = now.plus(PROBE_AFTER);
            limit.hintedProbeAt = Instant.MAX;
        }
    }

    // A higher limit is only adopted from an answer to this entry.
    private void heardOfLimit(
            UpstreamProcess process, double perSecond, Instant statedAt, Instant now) {
        Limit known = limits.get(process);
        boolean raised = known != null && known.inForce() && perSecond > known.perSecond;
        if (!raised) {
            renew(process, perSecond, statedAt, now);
            return;
        }
        confirm(process, known, statedAt);
        int rank = rank(process, known);
        int entries = known.rankedAmong.size() + 1;
        if (LimitShare.of(perSecond, rank, entries).sends()) {
            scheduleHintedProbe(process, known, now);
        } else {
            known.hintedProbeAt = Instant.MAX;
        }
    }

    private void scheduleHintedProbe(UpstreamProcess process, Limit limit, Instant now) {
        if (limit.hintedProbeAt.equals(Instant.MAX)) {
            limit.hintedProbeAt = now.plus(HINT_STEP.multipliedBy(rank(process, limit)));
        }
    }

    // Renews a limit, or creates it. A limit that was not in force starts its pace anew.
    private Limit renew(UpstreamProcess process, double perSecond, Instant statedAt, Instant now) {
        limits.values().removeIf(l -> l.isForgotten(now));
        Limit limit = limits.computeIfAbsent(process, p -> new Limit());
        boolean starts = !limit.inForce();
        boolean raised = perSecond > limit.perSecond;
        limit.perSecond = perSecond;
        confirm(process, limit, statedAt);
        limit.hintedProbeAt = Instant.MAX;
        Instant startPace = share(process, limit).startPace(now);
        if (starts || (raised && startPace.isBefore(limit.paceAt))) {
            limit.paceAt = startPace;
        }
        return limit;
    }

    private void confirm(UpstreamProcess process, Limit limit, Instant statedAt) {
        Duration delay = PROBE_AFTER.plus(PROBE_STEP.multipliedBy(rank(process, limit)));
        limit.statedAt = statedAt;
        limit.probeAt = statedAt.plus(delay);
    }

    private LimitShare share(UpstreamProcess process, Limit limit) {
        int rank = rank(process, limit);
        return LimitShare.of(limit.perSecond, rank, limit.rankedAmong.size() + 1);
    }

    private int rank(UpstreamProcess process, Limit limit) {
        Set<HostId> others = otherEntries.get();
        if (limit.rankedAmong != others) {
            limit.rankedAmong = others;
            limit.rank = RendezvousHash.rank(self, others, process.id().value());
        }
        return limit.rank;
    }

    /** Limit of one upstream process. Guarded by the registry. */
    private static final class Limit {
        private double perSecond;

        // Newest answer that stated the limit, to any entry.
        private Instant statedAt = Instant.MIN;

        // Newest answer that stated the limit to this entry.
        private Instant statedHereAt = Instant.MIN;

        private double perSecondStatedHere;

        // When the newest request was sent whose answer stated no limit.
        private Instant endedAt = Instant.MIN;

        // Time to which the requests of this entry use up the pace of its share.
        private Instant paceAt = Instant.EPOCH;

        // When this entry may send a request if it has no share.
        private Instant probeAt = Instant.MIN;

        // The same because of a notice that the limit was raised or has ended.
        private Instant hintedProbeAt = Instant.MAX;

        // Number of entries that precede this one, among those below.
        private int rank;

        private Set<HostId> rankedAmong;

        private boolean inForce() {
            return statedAt.isAfter(endedAt);
        }

        private boolean isForgotten(Instant now) {
            return inForce()
                    ? statedAt.plus(LIMIT_RETENTION).isBefore(now)
                    : endedAt.plus(NOTICE_RETENTION).isBefore(now);
        }

        private Optional<LimitNotice> notice(UpstreamProcess process, Instant now) {
            boolean ended = endedAt.isAfter(statedHereAt);
            Instant at = ended ? endedAt : statedHereAt;
            if (!at.plus(NOTICE_RETENTION).isAfter(now)) {
                return Optional.empty();
            }
            OptionalDouble rate =
                    ended ? OptionalDouble.empty() : OptionalDouble.of(perSecondStatedHere);
            return Optional.of(new LimitNotice(process, rate, Duration.between(at, now)));
        }
    }
}
