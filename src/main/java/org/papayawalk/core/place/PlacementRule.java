package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;

/** Chooses the upstream of a request. */
public interface PlacementRule {

    /**
     * Chooses an upstream that has room.
     *
     * @param candidates upstreams of the service
     * @param tried upstreams that this request was sent to before
     * @param now present time
     * @return upstream, empty if none has room
     */
    Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now);
}
