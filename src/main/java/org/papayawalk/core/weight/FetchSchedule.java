package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;

/**
 * Time from which this host may request each chunk along its {@link FallbackOrder}. The delay grows
 * with the rank of this host for the chunk, which is the number of hosts of its region that come
 * before it. A chunk of rank 0 is assigned to this host. Not thread-safe: confined to the thread of
 * its planner.
 */
final class FetchSchedule {
    /** Delay for a chunk that is assigned to another host. */
    private static final Duration FALLBACK_DELAY = Duration.ofSeconds(1);

    /** Additional delay for each host that comes before this one. */
    private static final Duration FALLBACK_DELAY_PER_RANK = Duration.ofMillis(250);

    /** Rank above which the delay does not grow further. */
    private static final int MAX_DELAY_RANKS = 8;

    private final Instant startedAt;

    /** Delay for an assigned chunk, in which a neighbor may offer it. */
    private final Duration offerWait;

    /** Rank of this host, by chunk index. */
    private final int[] ranks;

    /**
     * Creates a schedule in which every chunk is assigned to this host.
     *
     * @param chunkCount number of chunks
     * @param startedAt time at which the download started
     * @param offerWait delay for an assigned chunk, in which a neighbor may offer it
     */
    FetchSchedule(int chunkCount, Instant startedAt, Duration offerWait) {
        this.ranks = new int[chunkCount];
        this.startedAt = startedAt;
        this.offerWait = offerWait;
    }

    /**
     * Computes the ranks for a new set of hosts.
     *
     * @param order order over these hosts
     */
    void updateRanks(FallbackOrder order) {
        for (int i = 0; i < ranks.length; i++) {
            ranks[i] = order.rank(i);
        }
    }

    /**
     * Returns whether a chunk is assigned to this host, which then fetches it first for its region.
     *
     * @param index index of the chunk
     * @return true if no host comes before this one
     */
    boolean isAssigned(int index) {
        return ranks[index] == 0;
    }

    /**
     * Returns whether this host may request a chunk along its fallback order.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true once the delay since the start of the download has passed
     */
    boolean isDue(int index, Instant now) {
        if (isAssigned(index)) {
            return !now.isBefore(startedAt.plus(offerWait));
        }
        long steps = Math.min(ranks[index], MAX_DELAY_RANKS);
        Duration delay = FALLBACK_DELAY.plus(FALLBACK_DELAY_PER_RANK.multipliedBy(steps));
        return !now.isBefore(startedAt.plus(delay));
    }

    /**
     * Returns whether a chunk that is assigned to this host is missing.
     *
     * @param held chunks held
     * @return true if at least one is missing
     */
    boolean hasMissingAssigned(BitSet held) {
        for (int i = held.nextClearBit(0); i < ranks.length; i = held.nextClearBit(i + 1)) {
            if (isAssigned(i)) {
                return true;
            }
        }
        return false;
    }
}
