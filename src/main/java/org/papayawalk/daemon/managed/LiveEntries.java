package org.papayawalk.daemon.managed;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;

/**
 * Other entries that this daemon was in contact with, or that a peer or the store listed, within
 * the last 5 s. Each set stays the same object until it changes. Refreshed on the control thread;
 * may be read from any thread.
 */
public final class LiveEntries {
    private final EntryDirectory directory;

    private final DomainId ownDomain;

    /** Failure domain by address. Immutable; replaced on the control thread. */
    private volatile Map<String, DomainId> byAddress = Map.of();

    /** Hosts of these entries, by their IP addresses. Replaced like these. */
    private volatile Set<HostId> all = Set.of();

    /** Those of them in the failure domain of this daemon. Replaced like these. */
    private volatile Set<HostId> near = Set.of();

    /**
     * Creates a view without entries.
     *
     * @param directory entries that this daemon may query
     * @param ownDomain failure domain of this daemon
     */
    LiveEntries(EntryDirectory directory, DomainId ownDomain) {
        this.directory = directory;
        this.ownDomain = ownDomain;
    }

    /**
     * Returns the entries.
     *
     * @return failure domain by address, immutable
     */
    public Map<String, DomainId> byAddress() {
        return byAddress;
    }

    /**
     * Returns the hosts of the entries.
     *
     * @return immutable set of hosts by their IP addresses
     */
    public Set<HostId> all() {
        return all;
    }

    /**
     * Returns the hosts of the entries in the failure domain of this daemon.
     *
     * @return immutable set of hosts by their IP addresses
     */
    public Set<HostId> near() {
        return near;
    }

    /**
     * Takes over what the directory knows.
     *
     * @param now present time
     */
    void refresh(Instant now) {
        Map<String, DomainId> alive = Map.copyOf(directory.alive(now));
        if (!alive.equals(byAddress)) {
            all = hosts(alive, d -> true);
            near = hosts(alive, ownDomain::equals);
        }
        byAddress = alive;
    }

    private static Set<HostId> hosts(Map<String, DomainId> entries, Predicate<DomainId> domain) {
        return entries.entrySet().stream()
                .filter(e -> domain.test(e.getValue()))
                .map(e -> new HostId(e.getKey().substring(0, e.getKey().lastIndexOf(':'))))
                .collect(Collectors.toUnmodifiableSet());
    }
}
