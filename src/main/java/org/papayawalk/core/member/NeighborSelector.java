package org.papayawalk.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;

/**
 * Selects the neighbors of a daemon, that is, the hosts that it exchanges heartbeats with. Their
 * number is bounded, so that the cost of a daemon does not grow with the number of hosts in each
 * failure domain. Stateless; thread-safe.
 */
public final class NeighborSelector {
    /** Maximum number of agents of its own failure domain among the neighbors of an entry. */
    public static final int AGENTS_OF_ENTRY_IN_OWN_DOMAIN = 96;

    /** Maximum number of agents of each other failure domain among the neighbors of an entry. */
    public static final int AGENTS_OF_ENTRY_PER_OTHER_DOMAIN = 8;

    /** Maximum number of entries among the neighbors of an entry. */
    public static final int ENTRIES_OF_ENTRY = 6;

    /** Maximum number of entries of its failure domain among the neighbors of an agent. */
    public static final int ENTRIES_OF_AGENT = 3;

    /**
     * Maximum number of agents of its failure domain among the neighbors of an agent, in addition
     * to its predecessors in a rollout. Also the number of hosts of any domain that an agent
     * selects if its domain has no entry.
     */
    public static final int AGENTS_OF_AGENT = 4;

    /**
     * Selects the neighbors of a daemon.
     *
     * @param self record of the daemon in the host list
     * @param all all known hosts
     * @return neighbors, without the daemon itself
     */
    public Set<HostId> select(HostRecord self, Collection<HostRecord> all) {
        List<HostRecord> others = all.stream().filter(r -> !r.host().equals(self.host())).toList();
        return self.role() == HostRole.ENTRY
                ? selectForEntry(self, others)
                : selectForAgent(self, others);
    }

    private static Set<HostId> selectForEntry(HostRecord self, List<HostRecord> others) {
        Map<DomainId, List<HostId>> agents = new HashMap<>();
        List<HostId> entries = new ArrayList<>();
        for (HostRecord r : others) {
            if (r.role() == HostRole.ENTRY) {
                entries.add(r.host());
            } else {
                agents.computeIfAbsent(r.domain(), d -> new ArrayList<>()).add(r.host());
            }
        }
        Set<HostId> selected = new LinkedHashSet<>(firstRanked(entries, self, ENTRIES_OF_ENTRY));
        agents.forEach(
                (domain, hosts) -> {
                    boolean ownDomain = domain.equals(self.domain());
                    int limit =
                            ownDomain
                                    ? AGENTS_OF_ENTRY_IN_OWN_DOMAIN
                                    : AGENTS_OF_ENTRY_PER_OTHER_DOMAIN;
                    selected.addAll(firstRanked(hosts, self, limit));
                });
        return selected;
    }

    private static Set<HostId> selectForAgent(HostRecord self, List<HostRecord> others) {
        List<HostId> entries = new ArrayList<>();
        List<HostId> agents = new ArrayList<>();
        for (HostRecord r : others) {
            if (!r.domain().equals(self.domain())) {
                continue;
            }
            if (r.role() == HostRole.ENTRY) {
                entries.add(r.host());
            } else {
                agents.add(r.host());
            }
        }
        Set<HostId> selected = new LinkedHashSet<>(firstRanked(entries, self, ENTRIES_OF_AGENT));
        selected.addAll(firstRanked(agents, self, AGENTS_OF_AGENT));
        if (entries.isEmpty()) {
            List<HostId> anyHosts = others.stream().map(HostRecord::host).toList();
            selected.addAll(firstRanked(anyHosts, self, AGENTS_OF_AGENT));
        }
        return selected;
    }

    // Each daemon ranks the hosts by a key of its own, so that their neighbors differ.
    private static List<HostId> firstRanked(List<HostId> hosts, HostRecord self, int limit) {
        List<HostId> ordered = RendezvousHash.order(hosts, "neighbours/" + self.host());
        return ordered.subList(0, Math.min(limit, ordered.size()));
    }
}
