package org.papayawalk.core.place;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.UpstreamId;

/**
 * Chooses the least loaded of a few upstreams that are sampled at random among those with capacity.
 * Chooses none if every upstream has all its slots in use and its short queue full.
 *
 * <p>The score of an upstream is its in-flight requests plus a cost for prompts in prefill, a
 * penalty for distance, a penalty for failures and a random tie-break, divided by its slots. The
 * speed of an engine hardly depends on the number of responses that it generates, but each prefill
 * delays the first token of the next request. Where work takes longer than usual, the requests
 * count that many times, and the prompt of the next one adds what it takes longer.
 *
 * <p>The sample avoids herding: entries with the same stale load reports would otherwise all choose
 * the same upstream at the same time. The queue is short because a request that waits at an
 * upstream can no longer be sent elsewhere. For both reasons an entry also bounds the requests that
 * are not yet in a load report; all entries together share this bound.
 *
 * <p>Holds no mutable state; as thread-safe as its random generator.
 */
public final class LeastLoaded implements PlacementRule {
    private final PlacementPolicy policy;
    private final IntSupplier entryCount;
    private final ToDoubleFunction<PlacementCandidate> distancePenaltySlots;
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param policy bounds and weights
     * @param entryCount supplies the number of running entries, at least 1
     * @param distancePenaltySlots penalty for the distance of an upstream, in slots
     * @param random random generator for the sample and the tie-breaks
     */
    public LeastLoaded(
            PlacementPolicy policy,
            IntSupplier entryCount,
            ToDoubleFunction<PlacementCandidate> distancePenaltySlots,
            RandomGenerator random) {
        this.policy = policy;
        this.entryCount = entryCount;
        this.distancePenaltySlots = distancePenaltySlots;
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> eligible = new ArrayList<>();
        for (PlacementCandidate c : candidates) {
            boolean available = hasCapacity(c, now) && c.load().isSelectable(now);
            if (available && !tried.contains(c.upstream().id())) {
                eligible.add(c);
            }
        }
        PlacementCandidate best = null;
        double bestScore = Double.MAX_VALUE;
        for (int i = 0; i < policy.sampleSize() && !eligible.isEmpty(); i++) {
            PlacementCandidate c = eligible.remove(random.nextInt(eligible.size()));
            double score = score(c, now);
            if (score < bestScore) {
                best = c;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean hasCapacity(PlacementCandidate candidate, Instant now) {
        int slots = candidate.upstream().slots();
        long maxUnreported =
                Math.max(
                        1, Math.round(slots * policy.maxUnreportedShare() / entryCount.getAsInt()));
        return candidate.load().unreported() < maxUnreported
                && candidate.load().expectedInFlight(now) < policy.fullAt(slots);
    }

    // Returns the load for each slot; the lowest score is chosen.
    private double score(PlacementCandidate candidate, Instant now) {
        double pace = candidate.load().pace(now);
        double work =
                candidate.load().expectedInFlight(now)
                        + candidate.load().pendingPrefill() * policy.prefillCostSlots();
        double load =
                work * pace
                        + (pace - 1) * policy.prefillCostSlots()
                        + distancePenaltySlots.applyAsDouble(candidate)
                        + candidate.load().failureRate() * policy.failurePenaltySlots()
                        + random.nextDouble() * policy.maxJitterSlots();
        return load / candidate.upstream().slots();
    }
}
