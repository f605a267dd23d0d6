package org.papayawalk.lab.burst;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.ChunkSource;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.FetchResult;

/**
 * Common part of the planners that the product's is compared with: which chunks are here and which
 * are asked for. Not thread-safe.
 */
abstract class BaselinePlanner implements ChunkPlanner {
    /** Name of this host. */
    private final HostId self;

    /** Number of chunks. */
    private final int chunkCount;

    /** Requests under way at most. */
    private final int maxRequests;

    /** Chunks received. */
    private final ReceivedChunks have;

    /** Sources of the chunks asked for. */
    private final Map<Integer, ChunkSource> open = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param self name of this host
     * @param chunkCount number of chunks
     * @param maxRequests requests under way at most
     */
    BaselinePlanner(HostId self, int chunkCount, int maxRequests) {
        this.self = self;
        this.chunkCount = chunkCount;
        this.maxRequests = maxRequests;
        this.have = new ReceivedChunks(chunkCount);
    }

    @Override
    public final void recordResult(FetchRequest order, FetchResult result, Instant now) {
        open.remove(order.index());
        have.ended(order, result);
    }

    @Override
    public final void markHeld(int index) {
        have.keep(index);
    }

    @Override
    public final boolean fetches(int index) {
        return open.containsKey(index);
    }

    @Override
    public final int heldCount() {
        return have.count();
    }

    @Override
    public final boolean isComplete() {
        return have.complete();
    }

    /**
     * Returns the name of this host.
     *
     * @return name
     */
    final HostId self() {
        return self;
    }

    /**
     * Returns the number of chunks.
     *
     * @return number
     */
    final int chunkCount() {
        return chunkCount;
    }

    /**
     * Tells whether a further chunk may be asked for.
     *
     * @return true if fewer requests than allowed are under way
     */
    final boolean mayAsk() {
        return open.size() < maxRequests;
    }

    /**
     * Tells whether a chunk is neither here nor asked for.
     *
     * @param index index of the chunk
     * @return true if it is missing
     */
    final boolean lacks(int index) {
        return !have.has(index) && !open.containsKey(index);
    }

    /**
     * Asks for a chunk.
     *
     * @param index index of the chunk
     * @param source where it comes from
     * @return request
     */
    final FetchRequest ask(int index, ChunkSource source) {
        open.put(index, source);
        return new FetchRequest(index, source);
    }

    /**
     * Returns the requests to the origin that are under way.
     *
     * @return number of requests
     */
    final long askedOfOrigin() {
        return open.values().stream().filter(ChunkSource::isOrigin).count();
    }
}
