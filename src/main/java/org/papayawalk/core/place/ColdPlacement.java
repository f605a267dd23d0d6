package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import org.papayawalk.core.id.ServiceId;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.limit.ColdUpstreams;

/**
 * Restricts another rule to the upstreams that are not cold, and to the cold ones that this entry
 * may send a request to at present. As thread-safe as the other rule.
 */
public final class ColdPlacement implements PlacementRule {
    private final PlacementRule rule;

    private final ColdUpstreams cold;

    private final Function<ServiceId, OptionalDouble> perSecond;

    /**
     * Creates a rule.
     *
     * @param rule chooses among the upstreams that may receive a request
     * @param cold pace of this entry at cold upstreams
     * @param perSecond requests per second that a cold upstream of a service tolerates, empty if it
     *     takes as many as any other
     */
    public ColdPlacement(
            PlacementRule rule, ColdUpstreams cold, Function<ServiceId, OptionalDouble> perSecond) {
        this.rule = rule;
        this.cold = cold;
        this.perSecond = perSecond;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        if (candidates.stream().noneMatch(c -> c.upstream().isCold(now))) {
            return rule.choose(candidates, tried, now);
        }
        List<PlacementCandidate> admitted =
                candidates.stream().filter(c -> admits(c, now)).toList();
        return rule.choose(admitted, tried, now);
    }

    private boolean admits(PlacementCandidate candidate, Instant now) {
        if (!candidate.upstream().isCold(now)) {
            return true;
        }
        OptionalDouble limit = perSecond.apply(candidate.upstream().service());
        return limit.isEmpty()
                || cold.admits(candidate.upstream().process(), limit.getAsDouble(), now);
    }
}
