package org.papayawalk.lab.burst;

import java.util.BitSet;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.FetchResult;

/** Chunks that a baseline planner has received. Not thread-safe. */
final class ReceivedChunks {
    /** Number of chunks. */
    private final int chunkCount;

    /** Chunks verified. */
    private final BitSet have = new BitSet();

    /**
     * Creates an empty set.
     *
     * @param chunkCount number of chunks
     */
    ReceivedChunks(int chunkCount) {
        this.chunkCount = chunkCount;
    }

    /**
     * Records the end of a request.
     *
     * @param order request
     * @param result how it ended
     */
    void ended(FetchRequest order, FetchResult result) {
        if (result == FetchResult.VERIFIED) {
            have.set(order.index());
        }
    }

    /**
     * Records a chunk that came without a request.
     *
     * @param index index of the chunk
     */
    void keep(int index) {
        have.set(index);
    }

    /**
     * Tells whether a chunk was received.
     *
     * @param index index of the chunk
     * @return true if it was
     */
    boolean has(int index) {
        return have.get(index);
    }

    /**
     * Returns the number of received chunks.
     *
     * @return 0 up to the number of chunks
     */
    int count() {
        return have.cardinality();
    }

    /**
     * Tells whether every chunk was received.
     *
     * @return true if none is missing
     */
    boolean complete() {
        return have.cardinality() == chunkCount;
    }
}
