package org.papayawalk.core.route;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.DomainId;

/** Chooses the host for a request. Implementations hold no state and are safe from any thread. */
public interface Router {

    /**
     * Chooses a host.
     *
     * @param candidates hosts that may take the request
     * @param own failure domain of the entry
     * @param affinityKey requests with equal keys profit from the same host; empty for none
     * @param random source of tie-breaks
     * @return the host, or empty if there is no candidate
     */
    Optional<RouteCandidate> choose(
            List<RouteCandidate> candidates,
            DomainId own,
            String affinityKey,
            RandomGenerator random);
}
