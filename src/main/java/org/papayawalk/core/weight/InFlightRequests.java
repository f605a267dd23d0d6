package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.HostId;

/** In-flight requests for chunks. Not thread-safe: confined to the thread of its planner. */
final class InFlightRequests {
    /** Age of a request above which the chunk may be requested from a second source too. */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(700);

    private static final int MAX_REQUESTS_PER_CHUNK = 2;

    /** Requests by chunk index; no list is empty. */
    private final Map<Integer, List<Request>> requests = new HashMap<>();

    private int count;

    private int originCount;

    /**
     * Adds a request.
     *
     * @param request request that is sent now
     * @param now present time
     */
    void add(FetchRequest request, Instant now) {
        requests.computeIfAbsent(request.index(), i -> new ArrayList<>(MAX_REQUESTS_PER_CHUNK))
                .add(new Request(request.source(), now));
        count++;
        originCount += request.source().isOrigin() ? 1 : 0;
    }

    /**
     * Removes a request.
     *
     * @param request request that has ended
     * @return true if it was in flight
     */
    boolean remove(FetchRequest request) {
        List<Request> list = requests.get(request.index());
        if (list == null) {
            return false;
        }
        for (int i = 0; i < list.size(); i++) {
            if (list.get(i).source().equals(request.source())) {
                list.remove(i);
                count--;
                originCount -= request.source().isOrigin() ? 1 : 0;
                if (list.isEmpty()) {
                    requests.remove(request.index());
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a chunk is requested from any source.
     *
     * @param index index of the chunk
     * @return true if a request for it is in flight
     */
    boolean isRequested(int index) {
        return requests.containsKey(index);
    }

    /**
     * Returns whether a chunk may be requested from a second source as a hedge.
     *
     * @param index index of the chunk
     * @param now present time
     * @return true if its only request has been in flight for longer than the hedge delay
     */
    boolean canHedge(int index, Instant now) {
        List<Request> list = requests.get(index);
        return list != null
                && list.size() < MAX_REQUESTS_PER_CHUNK
                && list.get(0).sentAt().plus(HEDGE_DELAY).isBefore(now);
    }

    /**
     * Returns whether a chunk is requested from a peer.
     *
     * @param index index of the chunk
     * @param peer peer
     * @return true if a request for the chunk to this peer is in flight
     */
    boolean isRequestedFrom(int index, HostId peer) {
        List<Request> list = requests.get(index);
        return list != null && list.stream().anyMatch(r -> peer.equals(r.source().host()));
    }

    /**
     * Returns the chunks that are requested.
     *
     * @return indexes, as a live view
     */
    Set<Integer> chunkIndexes() {
        return requests.keySet();
    }

    /**
     * Returns the chunks that are requested from the origin.
     *
     * @return indexes
     */
    BitSet originIndexes() {
        BitSet indexes = new BitSet();
        requests.forEach(
                (index, list) -> {
                    if (list.stream().anyMatch(r -> r.source().isOrigin())) {
                        indexes.set(index);
                    }
                });
        return indexes;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return 0 or more
     */
    int count() {
        return count;
    }

    /**
     * Returns the number of requests in flight to the origin.
     *
     * @return 0 or more
     */
    int originCount() {
        return originCount;
    }

    private record Request(ChunkSource source, Instant sentAt) {}
}
