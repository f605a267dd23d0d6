package org.papayawalk.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Paces the requests of this entry to cold upstreams, which take few requests a second from all
 * entries together. Answers the load on servers that have just been started, restarted or taken
 * back: without a bound all entries send to them at once, as they are empty.
 *
 * <p>Rendezvous hashing names the few entries that share an upstream, without communication. An
 * entry that is not heard of any more keeps its share for a while, because it may be cut off and
 * send nevertheless; an entry that has just started sends nothing until it knows the others. Not
 * thread-safe: confined to the event loop thread.
 */
public final class ColdUpstreams {
    /** Time for which an entry that is not heard of keeps its share. */
    static final Duration MEMORY = Duration.ofSeconds(30);

    /** Time after its start in which an entry may not know the others. */
    static final Duration DISCOVERY = Duration.ofSeconds(5);

    /** Time after which entries that are still heard of are recorded again. */
    private static final Duration REFRESH = Duration.ofMillis(500);

    private static final int MAX_PACES = 4096;

    private final HostId self;

    private final Supplier<Set<HostId>> otherEntries;

    private final ColdBound bound;

    private final Instant startedAt;

    /** When each other entry was last heard of. */
    private final Map<HostId, Instant> heardAt = new HashMap<>();

    /** Set that was supplied last, and when it was looked at. */
    private Set<HostId> lastHeard = Set.of();

    private Instant refreshedAt = Instant.MIN;

    /** Entries among which the ranks were computed. */
    private Set<HostId> rankedAmong = Set.of();

    /** Share and pace by upstream process. */
    private final Map<UpstreamProcess, Pace> paces = new HashMap<>();

    /**
     * Creates a registry without cold upstreams.
     *
     * @param self this entry
     * @param otherEntries supplies the other running entries
     * @param bound bound of the platform
     * @param startedAt start of this entry
     */
    public ColdUpstreams(
            HostId self, Supplier<Set<HostId>> otherEntries, ColdBound bound, Instant startedAt) {
        this.self = self;
        this.otherEntries = otherEntries;
        this.bound = bound;
        this.startedAt = startedAt;
    }

    /**
     * Returns whether this entry may send a request to a cold upstream now.
     *
     * @param process upstream process
     * @param perSecond requests per second that it tolerates from all entries, 0 or more
     * @param now present time
     * @return false if its share leaves this entry no request at present
     */
    public boolean admits(UpstreamProcess process, double perSecond, Instant now) {
        if (perSecond <= 0 || startedAt.plus(DISCOVERY).isAfter(now)) {
            return false;
        }
        Pace pace = pace(process, perSecond, now);
        return pace.share.sends() && !pace.share.earliest(pace.usedUntil).isAfter(now);
    }

    /**
     * Records that this entry sends a request to a cold upstream.
     *
     * @param process upstream process
     * @param perSecond requests per second that it tolerates from all entries, 0 or more
     * @param now present time
     */
    public void sent(UpstreamProcess process, double perSecond, Instant now) {
        if (perSecond > 0) {
            Pace pace = pace(process, perSecond, now);
            pace.usedUntil = pace.share.nextPace(pace.usedUntil, now);
        }
    }

    private Pace pace(UpstreamProcess process, double perSecond, Instant now) {
        updateRanks(now);
        if (paces.size() > MAX_PACES) {
            paces.values().removeIf(p -> !p.usedUntil.plus(MEMORY).isAfter(now));
        }
        Pace pace = paces.computeIfAbsent(process, p -> new Pace());
        if (pace.share == null || pace.perSecond != perSecond) {
            int sharers = Math.min(bound.sharers(perSecond), rankedAmong.size() + 1);
            int rank = RendezvousHash.rank(self, rankedAmong, process.id().value());
            double rate = bound.rate(perSecond, sharers);
            pace.share = LimitShare.strict(rate, rank, sharers);
            pace.perSecond = perSecond;
            Instant start = pace.share.startPace(now);
            pace.usedUntil = start.isAfter(pace.usedUntil) ? start : pace.usedUntil;
        }
        return pace;
    }

    // Changes of the entries take new shares, which begin in turn.
    private void updateRanks(Instant now) {
        Set<HostId> heard = otherEntries.get();
        if (heard == lastHeard && refreshedAt.plus(REFRESH).isAfter(now)) {
            return;
        }
        lastHeard = heard;
        refreshedAt = now;
        heard.forEach(h -> heardAt.put(h, now));
        boolean lapsed = heardAt.values().removeIf(t -> t.plus(MEMORY).isBefore(now));
        if (lapsed || heardAt.size() != rankedAmong.size()) {
            rankedAmong = new HashSet<>(heardAt.keySet());
            paces.values().forEach(p -> p.share = null);
        }
    }

    /** Share and pace of this entry at one upstream. Confined like the registry. */
    private static final class Pace {
        /** Null if the entries have changed since it was computed. */
        private LimitShare share;

        private double perSecond;

        /** Time to which the requests of this entry use up the pace of its share. */
        private Instant usedUntil = Instant.MIN;
    }
}
