package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.HostId;

/** Requests for chunks that are under way. Not thread-safe: confined to its download's thread. */
final class InFlightRequests {
    /** Time after which a request may be doubled at another source. */
    private static final Duration HEDGE_AFTER = Duration.ofMillis(700);

    /** Requests for one chunk that may be under way at once. */
    private static final int MAX_COPIES = 2;

    /** Requests by chunk. */
    private final Map<Integer, List<Request>> requests = new HashMap<>();

    /** Number of requests. */
    private int count;

    /** Number of requests to the origin. */
    private int originCount;

    /**
     * Adds a request.
     *
     * @param order request that is sent
     * @param now present time
     */
    void add(FetchRequest order, Instant now) {
        requests.computeIfAbsent(order.index(), i -> new ArrayList<>(MAX_COPIES))
                .add(new Request(order.source(), now));
        count++;
        originCount += order.source().isOrigin() ? 1 : 0;
    }

    /**
     * Removes a request.
     *
     * @param order request that has ended
     * @return true if it was under way
     */
    boolean remove(FetchRequest order) {
        List<Request> list = requests.get(order.index());
        if (list == null) {
            return false;
        }
        for (int i = 0; i < list.size(); i++) {
            if (list.get(i).source().equals(order.source())) {
                list.remove(i);
                count--;
                originCount -= order.source().isOrigin() ? 1 : 0;
                if (list.isEmpty()) {
                    requests.remove(order.index());
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether a chunk is asked for.
     *
     * @param index index of the chunk
     * @return true if a request for it is under way
     */
    boolean isRequested(int index) {
        return requests.containsKey(index);
    }

    /**
     * Tells whether a chunk's only request takes long.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true if it may be doubled
     */
    boolean canHedge(int index, Instant now) {
        List<Request> list = requests.get(index);
        return list != null
                && list.size() < MAX_COPIES
                && list.get(0).sentAt().plus(HEDGE_AFTER).isBefore(now);
    }

    /**
     * Tells whether a peer is asked for a chunk.
     *
     * @param index index of the chunk
     * @param peer peer
     * @return true if a request to it is under way
     */
    boolean isRequestedFrom(int index, HostId peer) {
        List<Request> list = requests.get(index);
        return list != null && list.stream().anyMatch(r -> peer.equals(r.source().host()));
    }

    /**
     * Returns the chunks that are asked for.
     *
     * @return indexes
     */
    Set<Integer> chunkIndexes() {
        return requests.keySet();
    }

    /**
     * Returns the number of requests.
     *
     * @return 0 or more
     */
    int count() {
        return count;
    }

    /**
     * Returns the number of requests to the origin.
     *
     * @return 0 or more
     */
    int originCount() {
        return originCount;
    }

    /**
     * Request under way. Immutable.
     *
     * @param source where the chunk was asked for
     * @param sentAt when it was asked for
     */
    private record Request(ChunkSource source, Instant sentAt) {}
}
