package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.RendezvousHash;
import org.papayawalk.core.id.HostId;

/**
 * Requests chunks from relays, and delegates to another planner while no relay can deliver. Relays
 * are hosts of the same region on fast links. This suits a burst in which every host wants a
 * version that no host holds yet: the uplinks of the hosts stay free for live responses, and only
 * their downlinks limit the duration. Chunks that a relay is known to hold are requested first, so
 * that a host does not wait for a chunk that the origin does not send while it could fetch others.
 * Not thread-safe: confined to one thread of its caller.
 */
public final class RelayFirstPlanner implements ChunkPlanner {
    /** First backoff after a relay replied that it does not hold the version; doubled each time. */
    private static final Duration NOT_HELD_BACKOFF = Duration.ofMillis(100);

    private static final Duration MAX_NOT_HELD_BACKOFF = Duration.ofSeconds(3);

    /** Backoff after a request to a relay that failed or returned corrupt bytes. */
    private static final Duration FAILURE_BACKOFF = Duration.ofMillis(700);

    /** Name of the version; part of the rendezvous key that assigns chunks to relays. */
    private final String versionKey;

    private final int chunkCount;

    /** Limit of in-flight requests to all relays together. */
    private final int maxRequests;

    /** Planner used while no relay is available; it also records every chunk held. */
    private final ChunkPlanner fallback;

    /** Relays of the region, whether available or not. */
    private List<HostId> relays = List.of();

    /** Chunks that each relay held according to its last reply. */
    private final Map<HostId, BitSet> relayChunks = new HashMap<>();

    /** End of the backoff, by relay. */
    private final Map<HostId, Instant> backoffUntil = new HashMap<>();

    /** Number of backoffs because a relay did not hold the version, by relay. */
    private final Map<HostId, Integer> notHeldCounts = new HashMap<>();

    /** Earliest time at which the fallback is used. */
    private final Instant fallbackFrom;

    /** In-flight requests to relays; those of the fallback are not included. */
    private final Set<FetchRequest> inFlight = new HashSet<>();

    private final BitSet held = new BitSet();

    /**
     * Creates a planner.
     *
     * @param versionKey name of the version
     * @param chunkCount number of chunks
     * @param maxRequests limit of in-flight requests to all relays together, at least 1
     * @param fallback planner to use while no relay is available
     * @param fallbackFrom earliest time to use the fallback if there are relays, so that the relays
     *     can start to fetch a new version first
     */
    public RelayFirstPlanner(
            String versionKey,
            int chunkCount,
            int maxRequests,
            ChunkPlanner fallback,
            Instant fallbackFrom) {
        this.fallbackFrom = fallbackFrom;
        this.versionKey = versionKey;
        this.chunkCount = chunkCount;
        this.maxRequests = maxRequests;
        this.fallback = fallback;
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> peers) {
        relays = peers.stream().filter(SwarmPeer::relay).map(SwarmPeer::host).toList();
        fallback.updatePeers(peers.stream().filter(p -> !p.relay()).toList());
    }

    @Override
    public List<HostId> neighbors() {
        return fallback.neighbors();
    }

    @Override
    public void updateAvailability(HostId peer, BitSet chunks) {
        if (relays.contains(peer)) {
            relayChunks.put(peer, (BitSet) chunks.clone());
        } else {
            fallback.updateAvailability(peer, chunks);
        }
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<HostId> available =
                relays.stream()
                        .filter(r -> !backoffUntil.getOrDefault(r, Instant.MIN).isAfter(now))
                        .toList();
        if (available.isEmpty()) {
            boolean early = !relays.isEmpty() && now.isBefore(fallbackFrom);
            return early || !inFlight.isEmpty() ? List.of() : fallback.nextRequests(now);
        }
        List<FetchRequest> requests = new ArrayList<>();
        addRequests(requests, available, true);
        addRequests(requests, available, false);
        return requests;
    }

    @Override
    public void recordResult(FetchRequest request, FetchResult result, Instant now) {
        if (result == FetchResult.VERIFIED) {
            held.set(request.index());
        }
        if (!inFlight.remove(request)) {
            fallback.recordResult(request, result, now);
            return;
        }
        HostId relay = request.source().host();
        switch (result) {
            case VERIFIED -> fallback.markHeld(request.index());
            case NOT_HELD -> recordNotHeld(relay, now);
            case FAILED, CORRUPT -> backoffUntil.put(relay, now.plus(FAILURE_BACKOFF));
            default -> {}
        }
    }

    @Override
    public void markHeld(int index) {
        held.set(index);
        fallback.markHeld(index);
    }

    @Override
    public boolean fetches(int index) {
        return fallback.fetches(index) || inFlight.stream().anyMatch(r -> r.index() == index);
    }

    @Override
    public int heldCount() {
        return held.cardinality();
    }

    @Override
    public boolean isComplete() {
        return held.cardinality() == chunkCount;
    }

    // Adds requests for missing chunks by ascending index while there are free slots: for chunks
    // that a relay is known to hold, or for any chunk. The rendezvous order spreads the chunks over
    // the relays, and makes the hosts of the region wait for a chunk at the same relay.
    private void addRequests(
            List<FetchRequest> requests, List<HostId> available, boolean knownToBeHeld) {
        for (int i = held.nextClearBit(0); i < chunkCount; i = held.nextClearBit(i + 1)) {
            if (inFlight.size() >= maxRequests) {
                return;
            }
            int index = i;
            if (inFlight.stream().anyMatch(r -> r.index() == index)) {
                continue;
            }
            List<HostId> candidates =
                    knownToBeHeld
                            ? available.stream().filter(r -> isKnownToHold(r, index)).toList()
                            : available;
            if (candidates.isEmpty()) {
                continue;
            }
            HostId relay = RendezvousHash.order(candidates, versionKey + "/" + i).get(0);
            FetchRequest request = new FetchRequest(i, new ChunkSource(relay));
            inFlight.add(request);
            requests.add(request);
        }
    }

    private boolean isKnownToHold(HostId relay, int index) {
        BitSet chunks = relayChunks.get(relay);
        return chunks != null && chunks.get(index);
    }

    // Replies that arrive during a backoff answer requests sent before it, so they do not count.
    private void recordNotHeld(HostId relay, Instant now) {
        if (backoffUntil.getOrDefault(relay, Instant.MIN).isAfter(now)) {
            return;
        }
        int times = notHeldCounts.merge(relay, 1, Integer::sum);
        long millis = NOT_HELD_BACKOFF.toMillis() << Math.min(times - 1, 8);
        Duration backoff = Duration.ofMillis(Math.min(millis, MAX_NOT_HELD_BACKOFF.toMillis()));
        backoffUntil.put(relay, now.plus(backoff));
    }
}
