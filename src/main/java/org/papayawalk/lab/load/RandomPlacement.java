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
 * Placement baseline: chooses a random upstream, whatever its load. As thread-safe as its random
 * generator.
 */
final class RandomPlacement implements PlacementRule {
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random random generator
     */
    RandomPlacement(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> eligible = new ArrayList<>(candidates);
        eligible.removeIf(c -> tried.contains(c.upstream().id()));
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.get(random.nextInt(eligible.size())));
    }
}
