package org.papayawalk.core.place;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;

/**
 * Ranks of one entry for upstreams, among a changing set of entries. Ranks are computed once until
 * the set changes. Not thread-safe: confined to the event loop thread.
 */
final class RendezvousRanks {
    private static final int MAX_RANKS = 4096;

    private final HostId self;

    private final Supplier<Set<HostId>> otherEntries;

    /** Other entries for which the ranks were computed. */
    private Set<HostId> rankedAmong = Set.of();

    /** Number of entries that precede this one for an upstream. */
    private final Map<UpstreamId, Integer> ranks = new HashMap<>();

    /**
     * Creates ranks.
     *
     * @param self this entry
     * @param otherEntries supplies the other entries; the sets are immutable
     */
    RendezvousRanks(HostId self, Supplier<Set<HostId>> otherEntries) {
        this.self = self;
        this.otherEntries = otherEntries;
    }

    /**
     * Returns the number of entries that precede this one for an upstream.
     *
     * @param upstream id of the upstream
     * @return 0 if this entry is the first
     */
    int rank(UpstreamId upstream) {
        Set<HostId> others = otherEntries.get();
        if (others != rankedAmong || ranks.size() > MAX_RANKS) {
            rankedAmong = others;
            ranks.clear();
        }
        return ranks.computeIfAbsent(
                upstream, i -> RendezvousHash.rank(self, rankedAmong, i.value()));
    }

    /**
     * Returns the number of entries that are ranked.
     *
     * @return at least 1, as this entry counts
     */
    int entries() {
        return otherEntries.get().size() + 1;
    }

    /**
     * Returns the upstreams that rendezvous hashing assigns to this entry, and further ones in the
     * order of their ranks up to the mean number.
     *
     * @param upstreams upstreams to assign
     * @param sharers number of entries that share an upstream, at least 1
     * @return at least one, unless there are none
     */
    List<PlacementCandidate> own(Collection<PlacementCandidate> upstreams, int sharers) {
        int mean = (int) Math.ceil((double) upstreams.size() * sharers / entries());
        List<PlacementCandidate> assigned =
                upstreams.stream().filter(c -> rank(c.upstream().id()) < sharers).toList();
        boolean enough = assigned.size() >= mean;
        Comparator<PlacementCandidate> byRank =
                Comparator.comparingInt(c -> rank(c.upstream().id()));
        return (enough ? assigned : upstreams)
                .stream()
                        .sorted(byRank.thenComparing(c -> c.upstream().id().value()))
                        .limit(Math.max(assigned.size(), mean))
                        .toList();
    }
}
