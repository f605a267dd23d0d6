package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.limit.UpstreamLimits;

/**
 * Restricts another rule to the upstreams whose stated limits leave this entry a request at
 * present. As thread-safe as the other rule.
 */
public final class LimitedUpstreams implements PlacementRule {
    private final PlacementRule rule;

    private final UpstreamLimits limits;

    /**
     * Creates a rule.
     *
     * @param rule chooses among the upstreams that may receive a request
     * @param limits limits that upstreams have stated
     */
    public LimitedUpstreams(PlacementRule rule, UpstreamLimits limits) {
        this.rule = rule;
        this.limits = limits;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> admitted =
                candidates.stream()
                        .filter(c -> limits.admits(c.upstream().process(), now))
                        .toList();
        return rule.choose(admitted, tried, now);
    }
}
