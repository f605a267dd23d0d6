package org.papayawalk.core.place;

import java.util.HashMap;
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
}
