package org.papayawalk.lab.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.UpstreamId;
import org.papayawalk.core.place.PlacementCandidate;
import org.papayawalk.core.place.PlacementRule;

/** Takes the less loaded of two upstreams drawn at random. As safe as its random generator. */
final class TwoChoicesPlacement implements PlacementRule {
    /** Source of chance. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random source of chance
     */
    TwoChoicesPlacement(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> open = new ArrayList<>(candidates);
        open.removeIf(c -> tried.contains(c.upstream().id()) || !c.load().isSelectable(now));
        if (open.isEmpty()) {
            return Optional.empty();
        }
        PlacementCandidate a = open.get(random.nextInt(open.size()));
        PlacementCandidate b = open.get(random.nextInt(open.size()));
        PlacementCandidate less =
                a.load().expectedInFlight(now) <= b.load().expectedInFlight(now) ? a : b;
        boolean room = less.load().expectedInFlight(now) <= less.upstream().slots();
        return room ? Optional.of(less) : Optional.empty();
    }
}
