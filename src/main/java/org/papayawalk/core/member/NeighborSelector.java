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
 * Chooses the bounded set of hosts that a daemon exchanges heartbeats with, so that the cost of a
 * daemon does not grow with the deployment. Holds no state; safe from any thread.
 */
public final class NeighborSelector {
    /** Agents of its own failure domain that an entry talks to. */
    public static final int AGENTS_OF_ENTRY_IN_OWN_DOMAIN = 96;

    /** Agents of each other failure domain that an entry talks to. */
    public static final int AGENTS_OF_ENTRY_PER_OTHER_DOMAIN = 8;

    /** Entries that an entry talks to. */
    public static final int ENTRIES_OF_ENTRY = 6;

    /** Entries of its own failure domain that an agent talks to. */
    public static final int ENTRIES_OF_AGENT = 3;

    /** Agents that an agent talks to besides its predecessors in a rollout. */
    public static final int AGENTS_OF_AGENT = 4;

    /**
     * Chooses neighbours.
     *
     * @param self the daemon's own line of the host list
     * @param all every known host
     * @return hosts to talk to, without the daemon itself
     */
    public Set<HostId> select(HostRecord self, Collection<HostRecord> all) {
        List<HostRecord> others = all.stream().filter(r -> !r.host().equals(self.host())).toList();
        return self.role() == HostRole.ENTRY
                ? selectForEntry(self, others)
                : selectForAgent(self, others);
    }

    /**
     * Chooses neighbours of an entry.
     *
     * @param self the entry
     * @param others all other hosts
     * @return its neighbours
     */
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
        Set<HostId> chosen = new LinkedHashSet<>(firstRanked(entries, self, ENTRIES_OF_ENTRY));
        agents.forEach(
                (domain, hosts) -> {
                    boolean own = domain.equals(self.domain());
                    int limit =
                            own ? AGENTS_OF_ENTRY_IN_OWN_DOMAIN : AGENTS_OF_ENTRY_PER_OTHER_DOMAIN;
                    chosen.addAll(firstRanked(hosts, self, limit));
                });
        return chosen;
    }

    /**
     * Chooses neighbours of an agent.
     *
     * @param self the agent
     * @param others all other hosts
     * @return its neighbours
     */
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
        Set<HostId> chosen = new LinkedHashSet<>(firstRanked(entries, self, ENTRIES_OF_AGENT));
        chosen.addAll(firstRanked(agents, self, AGENTS_OF_AGENT));
        if (entries.isEmpty()) {
            List<HostId> any = others.stream().map(HostRecord::host).toList();
            chosen.addAll(firstRanked(any, self, AGENTS_OF_AGENT));
        }
        return chosen;
    }

    /**
     * Returns the first hosts in a daemon's own order.
     *
     * @param hosts hosts to choose from
     * @param self the daemon
     * @param limit number to choose
     * @return at most that many hosts
     */
    private static List<HostId> firstRanked(List<HostId> hosts, HostRecord self, int limit) {
        List<HostId> ordered = RendezvousHash.order(hosts, "neighbours/" + self.host());
        return ordered.subList(0, Math.min(limit, ordered.size()));
    }
}
