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
 * Selects among the hosts of the entry's own failure domain while one of them has free capacity,
 * and among all hosts otherwise. Prefers a host whose prefix cache is likely to be warm for the
 * affinity key, unless its utilization is too far above the mean. Falls back to the less loaded of
 * two random hosts. Stateless; thread-safe.
 */
public final class AffinityRouter implements Router {
    /** Utilization up to which affinity applies, as a multiple of the mean. */
    private static final double MAX_LOAD_FACTOR = 1.25;

    /** Lower limit of that bound, so that a low mean does not disable affinity. */
    private static final double MIN_UTILIZATION_BOUND = 0.5;

    /** Number of hosts, in the rendezvous order of the key, that affinity considers. */
    private static final int AFFINITY_HOSTS = 2;

    @Override
    public Optional<RouteCandidate> choose(
            List<RouteCandidate> candidates,
            DomainId ownDomain,
            String affinityKey,
            RandomGenerator random) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        List<RouteCandidate> pool = localOrAll(candidates, ownDomain);
        if (!affinityKey.isEmpty()) {
            Optional<RouteCandidate> warm = chooseByAffinity(pool, affinityKey);
            if (warm.isPresent()) {
                return warm;
            }
        }
        return Optional.of(chooseLessLoaded(pool, random));
    }

    private static List<RouteCandidate> localOrAll(
            List<RouteCandidate> candidates, DomainId ownDomain) {
        List<RouteCandidate> local =
                candidates.stream().filter(c -> c.domain().equals(ownDomain)).toList();
        boolean hasCapacity = local.stream().anyMatch(c -> c.utilization() < 1);
        return hasCapacity ? local : candidates;
    }

    // Rendezvous hashing with bounded load.
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

    // The two random hosts may be the same one.
    private static RouteCandidate chooseLessLoaded(
            List<RouteCandidate> pool, RandomGenerator random) {
        RouteCandidate a = pool.get(random.nextInt(pool.size()));
        RouteCandidate b = pool.get(random.nextInt(pool.size()));
        return Comparator.comparingDouble(RouteCandidate::utilization).compare(a, b) <= 0 ? a : b;
    }
}
