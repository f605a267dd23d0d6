package org.papayawalk.core.route;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.DomainId;
import org.papayawalk.core.id.HostId;

/**
 * Prefers the entry's own failure domain, then the host whose prefix cache is likely warm as long
 * as its load is near the mean, then the less loaded of two random hosts. Holds no state; safe from
 * any thread.
 */
public final class AffinityRouter implements Router {
    /** Share of the mean utilization up to which affinity is followed. */
    private static final double MAX_LOAD_FACTOR = 1.25;

    /** Utilization that a host may always have when affinity is followed. */
    private static final double MIN_UTILIZATION_BOUND = 0.5;

    /** Hosts in a key's order that affinity tries. */
    private static final int AFFINITY_HOSTS = 2;

    @Override
    public Optional<RouteCandidate> choose(
            List<RouteCandidate> candidates,
            DomainId own,
            String affinityKey,
            RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<RouteCandidate> pool = localOrAll(candidates, own);
        if (!affinityKey.isEmpty()) {
            Optional<RouteCandidate> warm = chooseByAffinity(pool, affinityKey);
            if (warm.isPresent()) {
                return warm;
            }
        }
        return Optional.of(chooseLessLoaded(pool, random));
    }

    /**
     * Returns the hosts of the own failure domain while one of them has room, else all hosts.
     *
     * @param candidates all hosts, at least one
     * @param own failure domain of the entry
     * @return hosts to choose from, at least one
     */
    private static List<RouteCandidate> localOrAll(List<RouteCandidate> candidates, DomainId own) {
        List<RouteCandidate> near =
                candidates.stream().filter(c -> c.domain().equals(own)).toList();
        boolean room = near.stream().anyMatch(c -> c.utilization() < 1);
        return room ? near : candidates;
    }

    /**
     * Follows the key's order of hosts within the load bound.
     *
     * @param pool hosts to choose from
     * @param key affinity key
     * @return the first host of the order whose load is within the bound
     */
    private static Optional<RouteCandidate> chooseByAffinity(
            List<RouteCandidate> pool, String key) {
        double mean = pool.stream().mapToDouble(RouteCandidate::utilization).average().orElse(0);
        double bound = Math.max(MIN_UTILIZATION_BOUND, mean * MAX_LOAD_FACTOR);
        Map<HostId, RouteCandidate> byHost = new HashMap<>();
        pool.forEach(c -> byHost.put(c.host(), c));
        return RendezvousHash.order(byHost.keySet(), key).stream()
                .limit(AFFINITY_HOSTS)
                .map(byHost::get)
                .filter(c -> c.utilization() <= bound)
                .findFirst();
    }

    /**
     * Returns the less loaded of two random hosts.
     *
     * @param pool hosts to choose from, at least one
     * @param random source of the choice
     * @return the chosen host
     */
    private static RouteCandidate chooseLessLoaded(
            List<RouteCandidate> pool, RandomGenerator random) {
        RouteCandidate a = pool.get(random.nextInt(pool.size()));
        RouteCandidate b = pool.get(random.nextInt(pool.size()));
        return Comparator.comparingDouble(RouteCandidate::utilization).compare(a, b) <= 0 ? a : b;
    }
}
