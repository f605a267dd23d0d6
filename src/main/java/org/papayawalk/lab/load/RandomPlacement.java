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

/** Takes any upstream, whatever its load: the baseline. As safe as its random generator. */
final class RandomPlacement implements PlacementRule {
    /** Source of chance. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param random source of chance
     */
    RandomPlacement(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> open = new ArrayList<>(candidates);
        open.removeIf(c -> tried.contains(c.upstream().id()));
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(open.get(random.nextInt(open.size())));
    }
}
