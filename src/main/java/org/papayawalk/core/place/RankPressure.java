package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides how many slots a request leaves free for requests of higher ranks. Answers the load of
 * many entries whose queues are mostly empty: a burst of a low rank would take the slots that a
 * higher rank needs a moment later at another entry.
 *
 * <p>Each request that finds no upstream with room raises the pressure of its rank, and the
 * pressure fades within the time of an answer. So the room of higher ranks is lent while they do
 * not need it and given back about when the requests end that borrowed it. Entries do not tell each
 * other: as callers choose entries at random, each sees the same pressure in its own requests. Not
 * thread-safe: confined to the event loop thread.
 */
public final class RankPressure {
    /** Share of the slots that one request without room reserves for its rank. */
    private static final double STEP = 0.08;

    /** Time in which pressure falls to a half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);

    /** Largest share of the slots that is left free, so that no rank is starved. */
    private static final double MAX_RESERVE = 0.25;

    /** Distinct ranks that are told apart; lower ones count together. */
    private static final int LOWEST_RANK = 9;

    /** Pressure by rank at the time of the last change. */
    private final Map<Integer, Double> pressures = new TreeMap<>();

    private Instant changedAt = Instant.MIN;

    /**
     * Records that a request found no upstream with room.
     *
     * @param rank its rank, 0 for the highest
     * @param now present time
     */
    public void foundNoRoom(int rank, Instant now) {
        fade(now);
        pressures.merge(bounded(rank), STEP, (a, b) -> Math.min(MAX_RESERVE, a + b));
    }

    /**
     * Returns the share of the slots that a request leaves free.
     *
     * @param rank its rank, 0 for the highest
     * @param now present time
     * @return 0 if no higher rank has lately lacked room, at most a quarter
     */
    public double reserve(int rank, Instant now) {
        fade(now);
        double sum = 0;
        for (Map.Entry<Integer, Double> p : pressures.entrySet()) {
            sum += p.getKey() < bounded(rank) ? p.getValue() : 0;
        }
        return Math.min(MAX_RESERVE, sum);
    }

    private void fade(Instant now) {
        if (pressures.isEmpty()) {
            changedAt = now;
            return;
        }
        double halfLives =
                (double) Duration.between(changedAt, now).toMillis() / HALF_LIFE.toMillis();
        double left = Math.pow(0.5, Math.max(0, halfLives));
        pressures.replaceAll((r, p) -> p * left);
        pressures.values().removeIf(p -> p < STEP / 100);
        changedAt = now;
    }

    private static int bounded(int rank) {
        return Math.max(0, Math.min(LOWEST_RANK, rank));
    }
}
