package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.UpstreamId;

/**
 * Restricts an entry to a share of the engines if there are many entries. Answers the load of more
 * entries than an engine has slots. An entry receives load reports only with the responses to its
 * own requests. If every entry used every engine, these reports would be rare, and the unreported
 * requests of all entries together would exceed the slots of an engine.
 *
 * <p>Rendezvous hashing assigns a bounded number of entries to each engine, without communication;
 * an engine or entry that comes or goes moves few others. Every entry has at least the mean number
 * of engines. Other engines are used only while none of its own can be selected. Not thread-safe:
 * confined to the event loop thread.
 */
public final class SharedEngines implements PlacementRule {
    private final PlacementRule rule;

    private final int entriesPerEngine;

    private final RendezvousRanks ranks;

    /**
     * Creates a rule.
     *
     * @param rule chooses among the engines of this entry
     * @param entriesPerEngine number of entries that share an engine, at least 1
     * @param self this entry
     * @param otherEntries supplies the other running entries
     */
    public SharedEngines(
            PlacementRule rule,
            int entriesPerEngine,
            HostId self,
            Supplier<Set<HostId>> otherEntries) {
        this.rule = rule;
        this.entriesPerEngine = entriesPerEngine;
        this.ranks = new RendezvousRanks(self, otherEntries);
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        if (ranks.entries() <= entriesPerEngine) {
            return rule.choose(candidates, tried, now);
        }
        List<PlacementCandidate> own =
                ranks.own(candidates, entriesPerEngine).stream()
                        .filter(c -> c.load().isSelectable(now))
                        .toList();
        boolean usable = own.stream().anyMatch(c -> !tried.contains(c.upstream().id()));
        return rule.choose(usable ? own : candidates, tried, now);
    }
}
