package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/** Chooses the upstream for a request. */
public interface PlacementRule {

    /**
     * Chooses an upstream that has capacity for one more request.
     *
     * @param candidates upstreams of the service
     * @param tried upstreams that earlier attempts of this request were sent to; never chosen again
     * @param now present time
     * @return chosen upstream, empty if none has capacity
     */
    Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now);
}
