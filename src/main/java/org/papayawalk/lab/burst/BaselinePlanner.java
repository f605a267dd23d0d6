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
 * Base class of the planners with which the production planner is compared. Tracks the chunks
 * received and the requests in flight. Not thread-safe.
 */
abstract class BaselinePlanner implements ChunkPlanner {
    private final HostId self;

    private final int chunkCount;

    /** Maximum number of requests in flight. */
    private final int maxRequests;

    private final ReceivedChunks received;

    /** Sources of the requests in flight, by chunk index. */
    private final Map<Integer, ChunkSource> inFlight = new HashMap<>();

    /**
     * Creates a planner that holds no chunks.
     *
     * @param self name of this host
     * @param chunkCount number of chunks
     * @param maxRequests maximum number of requests in flight
     */
    BaselinePlanner(HostId self, int chunkCount, int maxRequests) {
        this.self = self;
        this.chunkCount = chunkCount;
        this.maxRequests = maxRequests;
        this.received = new ReceivedChunks(chunkCount);
    }

    @Override
    public final void recordResult(FetchRequest request, FetchResult result, Instant now) {
        inFlight.remove(request.index());
        received.recordResult(request, result);
    }

    @Override
    public final void markHeld(int index) {
        received.add(index);
    }

    @Override
    public final boolean fetches(int index) {
        return inFlight.containsKey(index);
    }

    @Override
    public final int heldCount() {
        return received.count();
    }

    @Override
    public final boolean isComplete() {
        return received.isComplete();
    }

    /**
     * Returns the host for which this planner plans.
     *
     * @return name of this host
     */
    final HostId self() {
        return self;
    }

    /**
     * Returns the number of chunks of the version.
     *
     * @return number of chunks, those not held included
     */
    final int chunkCount() {
        return chunkCount;
    }

    /**
     * Tells whether a further request may be sent.
     *
     * @return true if the maximum number of requests in flight is not reached
     */
    final boolean hasFreeSlot() {
        return inFlight.size() < maxRequests;
    }

    /**
     * Tells whether a chunk is neither held nor requested.
     *
     * @param index index of the chunk
     * @return true if the chunk may be requested
     */
    final boolean isRequestable(int index) {
        return !received.contains(index) && !inFlight.containsKey(index);
    }

    /**
     * Creates a request and counts it as in flight.
     *
     * @param index index of the chunk
     * @param source source to request it from
     * @return request
     */
    final FetchRequest addRequest(int index, ChunkSource source) {
        inFlight.put(index, source);
        return new FetchRequest(index, source);
    }

    /**
     * Returns the number of requests in flight to the origin.
     *
     * @return 0 or more
     */
    final long originRequestCount() {
        return inFlight.values().stream().filter(ChunkSource::isOrigin).count();
    }
}
