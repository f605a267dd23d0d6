package org.papayawalk.core.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.DomainId;

/**
 * Selects the host that receives a request in the stand-alone entry. Implementations are stateless
 * and thread-safe.
 */
public interface Router {

    /**
     * Selects a host.
     *
     * @param candidates hosts that are eligible for the request
     * @param ownDomain failure domain of the entry
     * @param affinityKey key that groups requests which benefit from the same prefix cache; empty
     *     for no affinity
     * @param random random generator for the sample of hosts
     * @return selected host, or empty if there is no candidate
     */
    Optional<RouteCandidate> choose(
            List<RouteCandidate> candidates,
            DomainId ownDomain,
            String affinityKey,
            RandomGenerator random);
}
