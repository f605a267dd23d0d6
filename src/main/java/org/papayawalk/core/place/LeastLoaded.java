package org.papayawalk.core.place;

import java.time.Instant;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.papayawalk.core.id.UpstreamId;

/**
 * Sends a request where the fewest requests and unread prompts for each slot are, near upstreams
 * first, and nowhere if all have more than their slots and a short queue. An engine's speed hardly
 * depends on how many requests it writes, but each prompt that it reads delays the first token of
 * the next. Answers the load of many entries before few engines: a queue longer than that would
 * only move the wait to where it cannot be left. Holds no state of its own; as safe as its random
 * generator.
 */
public final class LeastLoaded implements PlacementRule {
    /** Largest part of a slot by which equal upstreams are told apart at random. */
    private static final double JITTER = 0.6;

    /** Slots that a prompt of usual length counts for while it is being read. */
    private static final double PROMPT_SLOTS = 3;

    /** Slots that a certain failure counts for. */
    private static final double FAILURE_SLOTS = 12;

    /** Requests that may wait at an upstream, as a share of its slots. */
    private final double queueShare;

    /** Slots by which an upstream counts as more loaded because it is far. */
    private final ToDoubleFunction<Candidate> distanceSlots;

    /** Source of tie-breaks. */
    private final RandomGenerator random;

    /**
     * Creates a rule.
     *
     * @param queueShare requests that may wait at an upstream, as a share of its slots
     * @param distanceSlots slots by which an upstream counts as more loaded because it is far
     * @param random source of tie-breaks
     */
    public LeastLoaded(
            double queueShare, ToDoubleFunction<Candidate> distanceSlots, RandomGenerator random) {
        this.queueShare = queueShare;
        this.distanceSlots = distanceSlots;
        this.random = random;
    }

    @Override
    public Optional<Candidate> choose(
            Collection<Candidate> candidates, Set<UpstreamId> tried, Instant now) {
        Candidate best = null;
        double bestScore = Double.MAX_VALUE;
        for (Candidate c : candidates) {
            int slots = c.entry().slots();
            int expected = c.load().expected(now);
            boolean room = expected < slots + Math.max(1, Math.round(slots * queueShare));
            if (!room || !c.load().open(now) || tried.contains(c.entry().id())) {
                continue;
            }
            double load =
                    expected
                            + c.load().prompts() * PROMPT_SLOTS
                            + distanceSlots.applyAsDouble(c)
                            + c.load().failureShare() * FAILURE_SLOTS
                            + random.nextDouble() * JITTER;
            double score = load / slots;
            if (score < bestScore) {
                best = c;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}
