package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;

/**
 * This host's turn for each chunk: how many hosts of its region come before it, and from when it
 * may seek the chunk. Not thread-safe: confined to its download's thread.
 */
final class FetchSchedule {
    /** Time in which neighbours may offer a chunk before its first fetcher asks the origin. */
    private static final Duration OFFER_GRACE = Duration.ofMillis(150);

    /** Time before a host that is not the first fetcher starts on a chunk's source walk. */
    private static final Duration WALK_DELAY = Duration.ofSeconds(1);

    /** Further delay for each host that comes before in the order. */
    private static final Duration WALK_DELAY_PER_RANK = Duration.ofMillis(250);

    /** Hosts before this one that add to the delay. */
    private static final int MAX_DELAY_RANKS = 8;

    /** When the download started. */
    private final Instant startedAt;

    /** Hosts before this one, by chunk. */
    private final int[] ranks;

    /**
     * Creates a table in which every chunk is this host's own.
     *
     * @param chunkCount number of chunks
     * @param startedAt when the download started
     */
    FetchSchedule(int chunkCount, Instant startedAt) {
        this.ranks = new int[chunkCount];
        this.startedAt = startedAt;
    }

    /**
     * Computes the turns for a set of hosts.
     *
     * @param walk walk over these hosts
     */
    void updateRanks(FallbackOrder walk) {
        for (int i = 0; i < ranks.length; i++) {
            ranks[i] = walk.rank(i);
        }
    }

    /**
     * Tells whether this host is the first to fetch a chunk for its region.
     *
     * @param index index of the chunk
     * @return true if no host comes before it
     */
    boolean isAssigned(int index) {
        return ranks[index] == 0;
    }

    /**
     * Tells whether this host may seek a chunk along its source walk.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true once the hosts before it have had their time
     */
    boolean isDue(int index, Instant now) {
        if (isAssigned(index)) {
            return !now.isBefore(startedAt.plus(OFFER_GRACE));
        }
        long steps = Math.min(ranks[index], MAX_DELAY_RANKS);
        Duration delay = WALK_DELAY.plus(WALK_DELAY_PER_RANK.multipliedBy(steps));
        return !now.isBefore(startedAt.plus(delay));
    }

    /**
     * Tells whether a chunk that this host is to fetch first is missing.
     *
     * @param have chunks verified
     * @return true if there is one
     */
    boolean hasMissingAssigned(BitSet have) {
        for (int i = have.nextClearBit(0); i < ranks.length; i = have.nextClearBit(i + 1)) {
            if (isAssigned(i)) {
                return true;
            }
        }
        return false;
    }
}
