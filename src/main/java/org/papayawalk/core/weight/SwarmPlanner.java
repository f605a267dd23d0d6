package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;

/**
 * Decides which chunk of one version to ask of which source. Chunks that neighbours offer come
 * first, the rarest of them first; a chunk that no neighbour offers is sought along its {@link
 * FallbackOrder}. A chunk counts as had only after {@link FetchResult#VERIFIED}. Not thread-safe:
 * confined to one thread of its caller.
 */
public final class SwarmPlanner implements ChunkPlanner {
    /** Neighbours that availability is exchanged with. */
    public static final int MAX_NEIGHBORS = 10;

    /** Requests under way along source walks of chunks that other hosts are to fetch first. */
    private static final int MAX_WALKS = 2;

    /** Offered chunks among which the rarest is chosen. */
    private static final int RAREST_OF = 6;

    /** Pause before the origin is asked again after a failure. */
    private static final Duration ORIGIN_PAUSE = Duration.ofMillis(500);

    /** Name of this host. */
    private final HostId self;

    /** Region of this host. */
    private final RegionId region;

    /** Digest of the manifest. */
    private final Digest digest;

    /** Number of chunks. */
    private final int chunkCount;

    /** Settings. */
    private final SwarmPlannerSettings settings;

    /** Source of tie-breaks. */
    private final SplittableRandom random;

    /** Chunks verified. */
    private final BitSet have = new BitSet();

    /** Requests under way. */
    private final InFlightRequests open = new InFlightRequests();

    /** Chunks that peers offer. */
    private final AvailabilityTracker offers = new AvailabilityTracker(open);

    /** Chunks that hosts of other regions hold. */
    private final Map<HostId, BitSet> remoteHeld = new HashMap<>();

    /** Place in the source walk, by chunk. */
    private final Map<Integer, Integer> walkPlaces = new HashMap<>();

    /** Turn of this host, by chunk. */
    private final FetchSchedule turns;

    /** Order of sources for chunks that no neighbour offers. */
    private FallbackOrder walk;

    /** Hosts that want the version, as last given. */
    private Collection<SwarmPeer> peers = List.of();

    /** Time before which the origin is not asked. */
    private Instant originPausedUntil = Instant.MIN;

    /** Chunks that policy {@code TIME} may still ask of the origin out of turn. */
    private int extraOriginChunks = -1;

    /**
     * Creates a download.
     *
     * @param self name of this host
     * @param region region of this host
     * @param digest digest of the manifest
     * @param chunkCount number of chunks
     * @param settings settings
     * @param random source of tie-breaks
     * @param startedAt present time
     */
    public SwarmPlanner(
            HostId self,
            RegionId region,
            Digest digest,
            int chunkCount,
            SwarmPlannerSettings settings,
            SplittableRandom random,
            Instant startedAt) {
        this.self = self;
        this.region = region;
        this.digest = digest;
        this.chunkCount = chunkCount;
        this.settings = settings;
        this.random = random;
        this.turns = new FetchSchedule(chunkCount, startedAt);
        updatePeers(List.of());
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        if (walk != null && peers.equals(hosts)) {
            return;
        }
        peers = List.copyOf(hosts);
        walk = new FallbackOrder(self, region, settings.originRegion(), digest.value(), peers);
        turns.updateRanks(walk);
        offers.retainPeers(peers.stream().map(SwarmPeer::host).toList());
        if (extraOriginChunks < 0 && !peers.isEmpty()) {
            boolean time = settings.policy() == DistributionPolicy.TIME;
            extraOriginChunks = time ? chunkCount / (peers.size() + 1) : 0;
        }
    }

    @Override
    public List<HostId> neighbors() {
        return walk.neighbors(MAX_NEIGHBORS);
    }

    @Override
    public void updateAvailability(HostId peer, BitSet held) {
        if (walk.isInRegion(peer)) {
            offers.update(peer, held);
        } else {
            // Only the first fetcher of a chunk acts on this: each chunk crosses the link once.
            remoteHeld.put(peer, (BitSet) held.clone());
        }
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> orders = new ArrayList<>();
        while (open.count() < 2 * settings.maxRequests() + settings.maxOriginRequests()) {
            FetchRequest order = choose(now);
            if (order == null) {
                break;
            }
            open.add(order, now);
            if (!order.source().isOrigin()) {
                offers.health(order.source().host()).recordSent();
            }
            orders.add(order);
        }
        return orders;
    }

    @Override
    public void recordResult(FetchRequest order, FetchResult result, Instant now) {
        if (!open.remove(order)) {
            return;
        }
        int index = order.index();
        if (result == FetchResult.VERIFIED) {
            have.set(index);
            walkPlaces.remove(index);
        }
        if (order.source().isOrigin()) {
            if (result != FetchResult.VERIFIED) {
                originPausedUntil = now.plus(ORIGIN_PAUSE);
                walkPlaces.remove(index);
            }
            return;
        }
        HostId peer = order.source().host();
        offers.health(peer).recordResult(result, now);
        if (result == FetchResult.VERIFIED || result == FetchResult.BUSY) {
            return;
        }
        if (result == FetchResult.FAILED) {
            offers.remove(peer);
        } else {
            offers.removeChunk(peer, index);
        }
        walkPlaces.merge(index, 1, Integer::sum);
    }

    @Override
    public void markHeld(int index) {
        have.set(index);
    }

    @Override
    public int heldCount() {
        return have.cardinality();
    }

    @Override
    public boolean isComplete() {
        return have.cardinality() == chunkCount;
    }

    @Override
    public boolean fetches(int index) {
        boolean turn = settings.relay() || turns.isAssigned(index);
        return open.isRequested(index) || (turn && !have.get(index));
    }

    /**
     * Chooses one request.
     *
     * @param now present time
     * @return the request, or null if there is none to send now
     */
    private FetchRequest choose(Instant now) {
        int walks = walksOpen(now);
        FetchRequest own = walks < settings.maxRequests() ? chooseWalk(now, true) : null;
        if (own != null) {
            return own;
        }
        boolean slot = open.count() - walks < settings.maxRequests();
        FetchRequest offered = slot ? chooseOffered(now, false) : null;
        if (offered != null) {
            return offered;
        }
        FetchRequest walked = walks < MAX_WALKS ? chooseWalk(now, false) : null;
        if (walked != null) {
            return walked;
        }
        FetchRequest extra = chooseExtra(now);
        return extra == null && slot ? chooseOffered(now, true) : extra;
    }

    /**
     * Chooses the rarest of some chunks that usable peers offer. Looking at all of them would send
     * every host to the same few peers at once.
     *
     * @param now present time
     * @param hedge whether to double a request that takes long
     * @return the request, or null
     */
    private FetchRequest chooseOffered(Instant now, boolean hedge) {
        int start = random.nextInt(chunkCount);
        int best = -1;
        int bestCount = Integer.MAX_VALUE;
        int sampled = 0;
        for (int k = 0; k < chunkCount && sampled < RAREST_OF; k++) {
            int i = (start + k) % chunkCount;
            if (have.get(i) || (hedge ? !open.canHedge(i, now) : open.isRequested(i))) {
                continue;
            }
            int count = offers.countRequestable(i, now);
            if (count == 0) {
                continue;
            }
            sampled++;
            if (count < bestCount) {
                best = i;
                bestCount = count;
            }
        }
        if (best < 0) {
            return null;
        }
        return new FetchRequest(best, new ChunkSource(offers.leastLoaded(best, now, random)));
    }

    /**
     * Chooses a chunk that no peer offers and that is due along its source walk.
     *
     * @param now present time
     * @param own whether to choose among the chunks that this host is the first to fetch for its
     *     region, or among the others
     * @return the request, or null
     */
    private FetchRequest chooseWalk(Instant now, boolean own) {
        int start = settings.relay() ? 0 : random.nextInt(chunkCount);
        FetchRequest blind = null;
        for (int k = 0; k < chunkCount; k++) {
            int i = (start + k) % chunkCount;
            boolean idle = !have.get(i) && !open.isRequested(i);
            boolean due = own == turns.isAssigned(i) && turns.isDue(i, now);
            if (!due || !idle || offers.isOffered(i, now)) {
                continue;
            }
            FetchRequest order = step(i, now);
            if (order != null && (order.source().isOrigin() || remoteHas(order))) {
                return order;
            }
            blind = blind == null ? order : blind;
        }
        return blind;
    }

    /**
     * Tells whether a host of another region is known to hold a chunk.
     *
     * @param order request for the chunk
     * @return true if the host said so
     */
    private boolean remoteHas(FetchRequest order) {
        BitSet held = remoteHeld.get(order.source().host());
        return held != null && held.get(order.index());
    }

    /**
     * Chooses a chunk to ask of the origin out of turn, if the policy allows it.
     *
     * @param now present time
     * @return the request, or null
     */
    private FetchRequest chooseExtra(Instant now) {
        if (extraOriginChunks <= 0 || !originUsable(now) || turns.hasMissingAssigned(have)) {
            return null;
        }
        for (int i = have.nextClearBit(0); i < chunkCount; i = have.nextClearBit(i + 1)) {
            if (!open.isRequested(i)) {
                extraOriginChunks--;
                return new FetchRequest(i, ChunkSource.ORIGIN);
            }
        }
        return null;
    }

    /**
     * Takes the present place of a chunk's source walk.
     *
     * @param index index of the chunk
     * @param now present time
     * @return the request, or null if the place may not be asked now
     */
    private FetchRequest step(int index, Instant now) {
        List<ChunkSource> sources = walk.sources(index);
        int place = walkPlaces.getOrDefault(index, 0);
        while (place < sources.size() - 1
                && offers.health(sources.get(place).host()).isBlocked(now)) {
            place++;
        }
        if (place >= sources.size()) {
            walkPlaces.remove(index);
            return null;
        }
        ChunkSource source = sources.get(place);
        boolean askable =
                source.isOrigin()
                        ? originUsable(now)
                        : offers.canRequest(source.host(), index, now);
        if (!askable) {
            return null;
        }
        walkPlaces.put(index, place);
        return new FetchRequest(index, source);
    }

    /**
     * Tells whether the origin may be asked now.
     *
     * @param now present time
     * @return true if no pause is in force and a slot is free
     */
    private boolean originUsable(Instant now) {
        return open.originCount() < settings.maxOriginRequests()
                && !now.isBefore(originPausedUntil);
    }

    /**
     * Counts the chunks that are sought along their source walk.
     *
     * @param now present time
     * @return number of chunks
     */
    private int walksOpen(Instant now) {
        int count = 0;
        for (int index : open.chunkIndexes()) {
            count += offers.isOffered(index, now) ? 0 : 1;
        }
        return count;
    }
}
