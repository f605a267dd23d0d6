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

/**
 * Placement by the power of two choices: chooses the less loaded of two random upstreams. As
 * thread-safe as its random generator.
 */
final class TwoChoicesPlacement implements PlacementRule {
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random random generator
     */
    TwoChoicesPlacement(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> eligible = new ArrayList<>(candidates);
        eligible.removeIf(c -> tried.contains(c.upstream().id()) || !c.load().isSelectable(now));
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        PlacementCandidate a = eligible.get(random.nextInt(eligible.size()));
        PlacementCandidate b = eligible.get(random.nextInt(eligible.size()));
        PlacementCandidate best =
                a.load().expectedInFlight(now) <= b.load().expectedInFlight(now) ? a : b;
        boolean hasCapacity = best.load().expectedInFlight(now) <= best.upstream().slots();
        return hasCapacity ? Optional.of(best) : Optional.empty();
    }
}
