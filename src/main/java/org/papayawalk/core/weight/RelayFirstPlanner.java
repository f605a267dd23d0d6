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
import org.papayawalk.core.Rendezvous;
import org.papayawalk.core.id.HostId;

/**
 * Asks relays for chunks, and plans like another planner for what they do not have. Relays are
 * hosts of the same region on fast links. Answers a burst in which every host wants a version that
 * no host has: the hosts' own uplinks stay free for live answers, and only their downlinks bound
 * the time. Not thread-safe: confined to one thread of its caller.
 */
public final class RelayFirstPlanner implements ChunkPlanner {
    /** Pause after a relay that does not have the version; doubled each time. */
    private static final Duration ABSENT_PAUSE = Duration.ofMillis(100);

    /** Longest pause after a relay that does not have the version. */
    private static final Duration MAX_ABSENT_PAUSE = Duration.ofSeconds(3);

    /** Pause after a relay that failed. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(700);

    /** Name of the version, from which the order of relays follows. */
    private final String key;

    /** Number of chunks. */
    private final int chunkCount;

    /** Requests to relays that are under way at once. */
    private final int maxRequests;

    /** Planner of what the relays do not have. */
    private final ChunkPlanner others;

    /** Relays of the region. */
    private List<HostId> relays = List.of();

    /** Times before which relays are not asked. */
    private final Map<HostId, Instant> pausedUntil = new HashMap<>();

    /** How often relays did not have the version. */
    private final Map<HostId, Integer> absences = new HashMap<>();

    /** When others are asked at the earliest. */
    private final Instant othersFrom;

    /** Requests to relays under way. */
    private final Set<FetchRequest> open = new HashSet<>();

    /** Chunks verified. */
    private final BitSet have = new BitSet();

    /**
     * Creates a planner.
     *
     * @param key name of the version
     * @param chunkCount number of chunks
     * @param maxRequests requests to relays that are under way at once
     * @param others planner of what the relays do not have
     * @param othersFrom time before which others are not asked, so that relays can learn of the
     *     version first
     */
    public RelayFirstPlanner(
            String key, int chunkCount, int maxRequests, ChunkPlanner others, Instant othersFrom) {
        this.othersFrom = othersFrom;
        this.key = key;
        this.chunkCount = chunkCount;
        this.maxRequests = maxRequests;
        this.others = others;
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        relays = hosts.stream().filter(SwarmPeer::relay).map(SwarmPeer::host).toList();
        others.updatePeers(hosts.stream().filter(p -> !p.relay()).toList());
    }

    @Override
    public List<HostId> neighbors() {
        return others.neighbors();
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        if (!relays.contains(peer)) {
            others.updateAvailability(peer, held);
        }
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<HostId> usable =
                relays.stream()
                        .filter(r -> !pausedUntil.getOrDefault(r, Instant.MIN).isAfter(now))
                        .toList();
        if (usable.isEmpty()) {
            boolean early = !relays.isEmpty() && now.isBefore(othersFrom);
            return early || !open.isEmpty() ? List.of() : others.nextRequests(now);
        }
        List<FetchRequest> orders = new ArrayList<>();
        for (int i = have.nextClearBit(0); i < chunkCount; i = have.nextClearBit(i + 1)) {
            if (open.size() >= maxRequests) {
                break;
            }
            int index = i;
            if (open.stream().anyMatch(o -> o.index() == index)) {
                continue;
            }
            HostId relay = Rendezvous.order(usable, key + "/" + i).get(0);
            FetchRequest order = new FetchRequest(i, new ChunkSource(relay));
            open.add(order);
            orders.add(order);
        }
        return orders;
    }

    @Override
    public void recordResult(FetchRequest order, FetchResult result, Instant now) {
        if (result == FetchResult.VERIFIED) {
            have.set(order.index());
        }
        if (!open.remove(order)) {
            others.recordResult(order, result, now);
            return;
        }
        HostId relay = order.source().host();
        switch (result) {
            case VERIFIED -> others.markHeld(order.index());
            case NOT_HELD -> absent(relay, now);
            case FAILED, CORRUPT -> pausedUntil.put(relay, now.plus(FAILURE_PAUSE));
            default -> {}
        }
    }

    @Override
    public void markHeld(int index) {
        have.set(index);
        others.markHeld(index);
    }

    @Override
    public boolean fetches(int index) {
        return others.fetches(index) || open.stream().anyMatch(o -> o.index() == index);
    }

    @Override
    public int heldCount() {
        return have.cardinality();
    }

    @Override
    public boolean isComplete() {
        return have.cardinality() == chunkCount;
    }

    /**
     * Records that a relay does not have the version. It is asked again after a pause, which grows
     * each time; answers that come during a pause belong to the time before it.
     *
     * @param relay relay
     * @param now present time
     */
    private void absent(HostId relay, Instant now) {
        if (pausedUntil.getOrDefault(relay, Instant.MIN).isAfter(now)) {
            return;
        }
        int times = absences.merge(relay, 1, Integer::sum);
        long millis = ABSENT_PAUSE.toMillis() << Math.min(times - 1, 8);
        Duration pause = Duration.ofMillis(Math.min(millis, MAX_ABSENT_PAUSE.toMillis()));
        pausedUntil.put(relay, now.plus(pause));
    }
}
