package org.papayawalk.lab.burst;

import java.util.BitSet;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.FetchResult;

/** Set of the chunks that a baseline planner has received. Not thread-safe. */
final class ReceivedChunks {
    private final int chunkCount;

    private final BitSet received = new BitSet();

    /**
     * Creates an empty set.
     *
     * @param chunkCount number of chunks of the version
     */
    ReceivedChunks(int chunkCount) {
        this.chunkCount = chunkCount;
    }

    /**
     * Adds the chunk of a request if it was verified.
     *
     * @param request request that has ended
     * @param result how it ended
     */
    void recordResult(FetchRequest request, FetchResult result) {
        if (result == FetchResult.VERIFIED) {
            received.set(request.index());
        }
    }

    /**
     * Adds a chunk that was not requested.
     *
     * @param index index of the chunk
     */
    void add(int index) {
        received.set(index);
    }

    /**
     * Tells whether a chunk was received.
     *
     * @param index index of the chunk
     * @return true if the chunk is in the set
     */
    boolean contains(int index) {
        return received.get(index);
    }

    /**
     * Returns the number of chunks received.
     *
     * @return 0 up to the number of chunks
     */
    int count() {
        return received.cardinality();
    }

    /**
     * Tells whether every chunk was received.
     *
     * @return true if no chunk is missing
     */
    boolean isComplete() {
        return received.cardinality() == chunkCount;
    }
}
