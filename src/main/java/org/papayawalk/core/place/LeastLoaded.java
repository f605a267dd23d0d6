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
 * Sends a request to the less loaded of a few upstreams with room that are drawn at random, and
 * nowhere if all have more than their slots and a short queue. The load is the requests and unread
 * prompts for each slot; near upstreams count as less loaded. An engine's speed hardly depends on
 * how many requests it writes, but each prompt that it reads delays the first token of the next.
 * Answers the load of many entries before few engines: if each entry took the least loaded of all
 * by its own late reports, all would take the same one at the same time, and a queue longer than
 * that would only move the wait to where it cannot be left. For the same reason an entry sends an
 * upstream only few requests before it hears of its load again; all entries share their number.
 * Holds no state of its own; as safe as its random generator.
 */
public final class LeastLoaded implements PlacementRule {
    /** Upstreams with room that are compared; more of them send the entries to the same one. */
    private static final int SAMPLE_SIZE = 4;

    /** Largest part of a slot by which equal upstreams are told apart at random. */
    private static final double MAX_JITTER_SLOTS = 0.6;

    /** Slots that a prompt of usual length counts for while it is being read. */
    private static final double PREFILL_COST_SLOTS = 3;

    /** Slots that a certain failure counts for. */
    private static final double FAILURE_PENALTY_SLOTS = 12;

    /** Requests that may wait at an upstream, as a share of its slots. */
    private final double maxQueueShare;

    /** Requests that all entries may send before they hear of the load, as a share of slots. */
    private final double maxUnreportedShare;

    /** Number of entries that are known to run, at least 1. */
    private final IntSupplier entryCount;

    /** Slots by which an upstream counts as more loaded because it is far. */
    private final ToDoubleFunction<PlacementCandidate> distancePenaltySlots;

    /** Source of tie-breaks. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param queueShare requests that may wait at an upstream, as a share of its slots
     * @param unheardShare requests that all entries may send to an upstream before they hear of its
     *     load, as a share of its slots
     * @param entries number of entries that are known to run, at least 1
     * @param distanceSlots slots by which an upstream counts as more loaded because it is far
     * @param random source of tie-breaks
     */
    public LeastLoaded(
            double queueShare,
            double unheardShare,
            IntSupplier entries,
            ToDoubleFunction<PlacementCandidate> distanceSlots,
            RandomGenerator random) {
        this.maxQueueShare = queueShare;
        this.maxUnreportedShare = unheardShare;
        this.entryCount = entries;
        this.distancePenaltySlots = distanceSlots;
        this.random = random;
    }

    @Override
    public Optional<PlacementCandidate> choose(
            Collection<PlacementCandidate> candidates, Set<UpstreamId> tried, Instant now) {
        List<PlacementCandidate> able = new ArrayList<>();
        for (PlacementCandidate c : candidates) {
            boolean free = hasCapacity(c, now) && c.load().isSelectable(now);
            if (free && !tried.contains(c.upstream().id())) {
                able.add(c);
            }
        }
        PlacementCandidate best = null;
        double bestScore = Double.MAX_VALUE;
        for (int i = 0; i < SAMPLE_SIZE && !able.isEmpty(); i++) {
            PlacementCandidate c = able.remove(random.nextInt(able.size()));
            double score = score(c, now);
            if (score < bestScore) {
                best = c;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Tells whether an upstream has room for one more request.
     *
     * @param candidate upstream
     * @param now present time
     * @return true if its slots and its short queue are not full
     */
    private boolean hasCapacity(PlacementCandidate candidate, Instant now) {
        int slots = candidate.upstream().slots();
        long queue = Math.max(1, Math.round(slots * maxQueueShare));
        long unheard = Math.max(1, Math.round(slots * maxUnreportedShare / entryCount.getAsInt()));
        return candidate.load().unreported() < unheard
                && candidate.load().expectedInFlight(now) < slots + queue;
    }

    /**
     * Returns how loaded an upstream is.
     *
     * @param candidate upstream
     * @param now present time
     * @return load for each slot
     */
    private double score(PlacementCandidate candidate, Instant now) {
        double load =
                candidate.load().expectedInFlight(now)
                        + candidate.load().pendingPrefill() * PREFILL_COST_SLOTS
                        + distancePenaltySlots.applyAsDouble(candidate)
                        + candidate.load().failureRate() * FAILURE_PENALTY_SLOTS
                        + random.nextDouble() * MAX_JITTER_SLOTS;
        return load / candidate.upstream().slots();
    }
}
