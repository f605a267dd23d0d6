package org.papayawalk.core.weight;

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
 * Rarest-first planner for a peer-to-peer download with fallback to the origin. Chunks that
 * neighbors offer are requested rarest-first. A chunk that no neighbor offers is requested along
 * its {@link FallbackOrder}, from the time that its {@link FetchSchedule} allows; such a request is
 * called a fallback request. Once nothing else is left to request, slow requests are hedged at a
 * second peer. A requested chunk counts as held only after {@link FetchResult#VERIFIED}. Not
 * thread-safe: confined to one thread of its caller.
 */
public final class SwarmPlanner implements ChunkPlanner {
    /** Maximum number of neighbors that a host exchanges availability with. */
    public static final int MAX_NEIGHBORS = 10;

    /**
     * Number of fallback requests in flight at which no further one is sent for a chunk that is
     * assigned to another host.
     */
    private static final int MAX_UNASSIGNED_FALLBACKS = 2;

    /** Number of offered chunks among which the rarest is chosen. */
    private static final int RAREST_FIRST_SAMPLE = 6;

    /**
     * Limit of busy replies to requests for a chunk from hosts that report no chunk at all. Such a
     * host may be unable to fetch even the manifest, so the next host in the fallback order is
     * asked.
     */
    private static final int MAX_BUSY_REPLIES = 2;

    private final HostId self;

    private final RegionId region;

    /** Digest of the manifest. */
    private final Digest digest;

    private final int chunkCount;

    private final SwarmPlannerSettings settings;

    /** Random generator for tie-breaks. */
    private final SplittableRandom random;

    private final BitSet held = new BitSet();

    private final InFlightRequests inFlight = new InFlightRequests();

    /** Chunks that peers of the same region offer, and the health of all peers. */
    private final AvailabilityTracker availability = new AvailabilityTracker(inFlight);

    /** Chunks that hosts of other regions hold, by host. */
    private final Map<HostId, BitSet> remoteChunks = new HashMap<>();

    /** Position in the fallback order to try next, by chunk index; absent for the first. */
    private final Map<Integer, Integer> fallbackPositions = new HashMap<>();

    /** Busy replies of hosts without any chunk since the last other reply, by chunk index. */
    private final Map<Integer, Integer> busyReplies = new HashMap<>();

    private final PeerFetches peerFetches = new PeerFetches();

    private final FetchSchedule schedule;

    private final OriginBackoff originBackoff = new OriginBackoff();

    private FallbackOrder fallbackOrder;

    /** Hosts that download the version, as of the last update. */
    private Collection<SwarmPeer> peers = List.of();

    /**
     * Number of chunks that policy {@code TIME} may still request from the origin without being due
     * along their fallback order; negative until the first update with peers sets it.
     */
    private int extraOriginChunks = -1;

    /**
     * Creates a planner that holds no chunks and has no peers.
     *
     * @param self name of this host
     * @param region region of this host
     * @param digest digest of the manifest
     * @param chunkCount number of chunks
     * @param settings settings
     * @param random random generator for tie-breaks
     * @param startedAt time at which the download starts
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
        this.schedule = new FetchSchedule(chunkCount, startedAt, settings.offerWait());
        updatePeers(List.of());
    }

    @Override
    public void updatePeers(Collection<SwarmPeer> hosts) {
        if (fallbackOrder != null && peers.equals(hosts)) {
            return;
        }
        peers = List.copyOf(hosts);
        fallbackOrder =
                new FallbackOrder(self, region, settings.originRegion(), digest.value(), peers);
        schedule.updateRanks(fallbackOrder);
        List<HostId> present = peers.stream().map(SwarmPeer::host).toList();
        availability.retainPeers(present);
        peerFetches.retainPeers(present);
        if (extraOriginChunks < 0 && !peers.isEmpty()) {
            boolean time = settings.policy() == DistributionPolicy.TIME;
            extraOriginChunks = time ? chunkCount / (peers.size() + 1) : 0;
        }
    }

    @Override
    public List<HostId> neighbors() {
        return fallbackOrder.neighbors(MAX_NEIGHBORS);
    }

    @Override
    public void updateAvailability(HostId peer, BitSet chunks) {
        if (fallbackOrder.isInRegion(peer)) {
            availability.update(peer, chunks);
        } else {
            // Used only to choose among fallback requests, of which the assigned host sends the
            // first, so that each chunk crosses the link between regions once.
            remoteChunks.put(peer, (BitSet) chunks.clone());
        }
    }

    @Override
    public void updateFetches(HostId peer, BitSet chunks, Instant now) {
        peerFetches.update(peer, chunks, now);
    }

    @Override
    public BitSet fetches() {
        return inFlight.originIndexes();
    }

    @Override
    public List<FetchRequest> nextRequests(Instant now) {
        List<FetchRequest> requests = new ArrayList<>();
        while (inFlight.count() < 2 * settings.maxRequests() + settings.maxOriginRequests()) {
            FetchRequest request = chooseRequest(now);
            if (request == null) {
                break;
            }
            inFlight.add(request, now);
            if (request.source().isOrigin()) {
                originBackoff.sent(now);
            } else {
                availability.health(request.source().host()).recordSent();
            }
            requests.add(request);
        }
        return requests;
    }

    @Override
    public void recordResult(FetchRequest request, FetchResult result, Instant now) {
        if (!inFlight.remove(request)) {
            return;
        }
        int index = request.index();
        if (result == FetchResult.VERIFIED) {
            held.set(index);
            fallbackPositions.remove(index);
        }
        if (request.source().isOrigin()) {
            originBackoff.ended(result == FetchResult.VERIFIED, now);
            if (result != FetchResult.VERIFIED) {
                fallbackPositions.remove(index);
            }
            return;
        }
        HostId peer = request.source().host();
        availability.health(peer).recordResult(result, now);
        if (result == FetchResult.BUSY) {
            recordBusy(peer, index);
            return;
        }
        busyReplies.remove(index);
        if (result == FetchResult.VERIFIED) {
            return;
        }
        if (result == FetchResult.FAILED) {
            availability.remove(peer);
        } else {
            availability.removeChunk(peer, index);
        }
        fallbackPositions.merge(index, 1, Integer::sum);
    }

    @Override
    public void markHeld(int index) {
        held.set(index);
    }

    @Override
    public int heldCount() {
        return held.cardinality();
    }

    @Override
    public boolean isComplete() {
        return held.cardinality() == chunkCount;
    }

    @Override
    public boolean fetches(int index) {
        boolean assigned = settings.relay() || schedule.isAssigned(index);
        return inFlight.isRequested(index) || (assigned && !held.get(index));
    }

    private void recordBusy(HostId peer, int index) {
        if (!fallbackOrder.isInRegion(peer) || availability.offersAny(peer)) {
            return;
        }
        if (busyReplies.merge(index, 1, Integer::sum) >= MAX_BUSY_REPLIES) {
            busyReplies.remove(index);
            fallbackPositions.merge(index, 1, Integer::sum);
        }
    }

    // Returns null if there is no request to send now.
    private FetchRequest chooseRequest(Instant now) {
        int fallbacks = countFallbacks(now);
        FetchRequest assigned =
                fallbacks < settings.maxRequests() ? chooseFallback(now, true) : null;
        if (assigned != null) {
            return assigned;
        }
        boolean slot = inFlight.count() - fallbacks < settings.maxRequests();
        FetchRequest offered = slot ? chooseRarest(now, false) : null;
        if (offered != null) {
            return offered;
        }
        FetchRequest unassigned =
                fallbacks < MAX_UNASSIGNED_FALLBACKS ? chooseFallback(now, false) : null;
        if (unassigned != null) {
            return unassigned;
        }
        FetchRequest extra = chooseExtra(now);
        return extra == null && slot ? chooseRarest(now, true) : extra;
    }

    // Chooses the rarest of a random sample of the chunks that available peers offer, or null. With
    // hedge set, chooses among slow requests instead. The sample keeps hosts apart: with all chunks
    // compared, every host would send its requests to the same few peers at once.
    private FetchRequest chooseRarest(Instant now, boolean hedge) {
        int start = random.nextInt(chunkCount);
        int best = -1;
        int bestCount = Integer.MAX_VALUE;
        int sampled = 0;
        for (int k = 0; k < chunkCount && sampled < RAREST_FIRST_SAMPLE; k++) {
            int i = (start + k) % chunkCount;
            if (held.get(i) || (hedge ? !inFlight.canHedge(i, now) : inFlight.isRequested(i))) {
                continue;
            }
            int count = availability.countRequestable(i, now);
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
        return new FetchRequest(best, new ChunkSource(availability.leastLoaded(best, now, random)));
    }

    // Chooses a chunk that no peer offers or receives, and that is due along its fallback order, or
    // null; among the chunks assigned to this host, or among the others. Prefers sources that hold
    // the chunk for sure: the origin, or a remote host that reported it.
    private FetchRequest chooseFallback(Instant now, boolean assigned) {
        int start = settings.relay() ? 0 : random.nextInt(chunkCount);
        FetchRequest unconfirmed = null;
        for (int k = 0; k < chunkCount; k++) {
            int i = (start + k) % chunkCount;
            boolean idle = !held.get(i) && !inFlight.isRequested(i);
            boolean due = assigned == schedule.isAssigned(i) && schedule.isDue(i, now);
            if (!due || !idle || availability.isOffered(i, now) || peerFetches.includes(i, now)) {
                continue;
            }
            FetchRequest request = nextFallback(i, now);
            if (request != null && (request.source().isOrigin() || isHeldRemotely(request))) {
                return request;
            }
            unconfirmed = unconfirmed == null ? request : unconfirmed;
        }
        return unconfirmed;
    }

    private boolean isHeldRemotely(FetchRequest request) {
        BitSet chunks = remoteChunks.get(request.source().host());
        return chunks != null && chunks.get(request.index());
    }

    // Chooses a chunk to request from the origin although it is not due, or null. Only policy TIME
    // allows this, and only once this host holds all chunks assigned to it.
    private FetchRequest chooseExtra(Instant now) {
        if (extraOriginChunks <= 0
                || !isOriginAvailable(now)
                || schedule.hasMissingAssigned(held)) {
            return null;
        }
        for (int i = held.nextClearBit(0); i < chunkCount; i = held.nextClearBit(i + 1)) {
            if (!inFlight.isRequested(i)) {
                extraOriginChunks--;
                return new FetchRequest(i, ChunkSource.ORIGIN);
            }
        }
        return null;
    }

    // Returns the request to the present source in the fallback order of a chunk, skipping blocked
    // peers, or null if that source cannot be used now. After the last source the order restarts.
    private FetchRequest nextFallback(int index, Instant now) {
        List<ChunkSource> sources = fallbackOrder.sources(index);
        int position = fallbackPositions.getOrDefault(index, 0);
        while (position < sources.size() - 1
                && availability.health(sources.get(position).host()).isBlocked(now)) {
            position++;
        }
        if (position >= sources.size()) {
            fallbackPositions.remove(index);
            return null;
        }
        ChunkSource source = sources.get(position);
        boolean usable =
                source.isOrigin()
                        ? isOriginAvailable(now)
                        : availability.canRequest(source.host(), index, now);
        if (!usable) {
            return null;
        }
        fallbackPositions.put(index, position);
        return new FetchRequest(index, source);
    }

    private boolean isOriginAvailable(Instant now) {
        return inFlight.originCount() < settings.maxOriginRequests() && originBackoff.allows(now);
    }

    // Counts the requested chunks that no peer offers.
    private int countFallbacks(Instant now) {
        int count = 0;
        for (int index : inFlight.chunkIndexes()) {
            count += availability.isOffered(index, now) ? 0 : 1;
        }
        return count;
    }
}
