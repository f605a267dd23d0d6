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
 * SourceWalk}. A chunk counts as had only after {@link FetchResult#VERIFIED}. Not thread-safe:
 * confined to one thread of its caller.
 */
public final class Download {
    /** Neighbours that availability is exchanged with. */
    public static final int NEIGHBOURS = 10;

    /** Requests under way along source walks of chunks that other hosts are to fetch first. */
    private static final int MAX_WALKS = 2;

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
    private final DownloadSettings settings;

    /** Source of tie-breaks. */
    private final SplittableRandom random;

    /** Chunks verified. */
    private final BitSet have = new BitSet();

    /** Requests under way. */
    private final OpenRequests open = new OpenRequests();

    /** Chunks that peers offer. */
    private final OfferBook offers = new OfferBook(open);

    /** Place in the source walk, by chunk. */
    private final Map<Integer, Integer> walkPlaces = new HashMap<>();

    /** Turn of this host, by chunk. */
    private final TurnTable turns;

    /** Order of sources for chunks that no neighbour offers. */
    private SourceWalk walk;

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
    public Download(
            HostId self,
            RegionId region,
            Digest digest,
            int chunkCount,
            DownloadSettings settings,
            SplittableRandom random,
            Instant startedAt) {
        this.self = self;
        this.region = region;
        this.digest = digest;
        this.chunkCount = chunkCount;
        this.settings = settings;
        this.random = random;
        this.turns = new TurnTable(chunkCount, startedAt);
        swarm(List.of());
    }

    /**
     * Sets the hosts that want the version and are presumed alive.
     *
     * @param hosts those hosts, with or without this one
     */
    public void swarm(Collection<SwarmPeer> hosts) {
        if (walk != null && peers.equals(hosts)) {
            return;
        }
        peers = List.copyOf(hosts);
        walk = new SourceWalk(self, region, settings.originRegion(), digest.value(), peers);
        turns.update(walk);
        if (extraOriginChunks < 0 && !peers.isEmpty()) {
            boolean time = settings.policy() == DistributionPolicy.TIME;
            extraOriginChunks = time ? chunkCount / (peers.size() + 1) : 0;
        }
    }

    /**
     * Returns the neighbours to exchange availability with.
     *
     * @return bounded list of hosts of the own region
     */
    public List<HostId> neighbours() {
        return walk.neighbours(NEIGHBOURS);
    }

    /**
     * Records the chunks that a peer offers.
     *
     * @param peer host that offers
     * @param held chunks that it holds
     */
    public void offered(HostId peer, BitSet held) {
        offers.offered(peer, held);
    }

    /**
     * Chooses the requests to send now. Each is counted as under way until {@link #ended}.
     *
     * @param now present time
     * @return requests, at most as many as there are free slots
     */
    public List<FetchOrder> next(Instant now) {
        List<FetchOrder> orders = new ArrayList<>();
        while (open.count() < settings.maxRequests()) {
            FetchOrder order = choose(now);
            if (order == null) {
                break;
            }
            open.add(order, now);
            if (!order.source().isOrigin()) {
                offers.standing(order.source().host()).sent();
            }
            orders.add(order);
        }
        return orders;
    }

    /**
     * Records the end of a request.
     *
     * @param order the request
     * @param result how it ended
     * @param now present time
     */
    public void ended(FetchOrder order, FetchResult result, Instant now) {
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
        offers.standing(peer).ended(result, now);
        if (result == FetchResult.VERIFIED || result == FetchResult.BUSY) {
            return;
        }
        offers.strike(peer, index);
        walkPlaces.merge(index, 1, Integer::sum);
    }

    /**
     * Marks a chunk as had without a request, such as one kept from another version.
     *
     * @param index index of the chunk
     */
    public void keep(int index) {
        have.set(index);
    }

    /**
     * Tells whether a chunk was verified.
     *
     * @param index index of the chunk
     * @return true if it was
     */
    public boolean has(int index) {
        return have.get(index);
    }

    /**
     * Returns the number of verified chunks.
     *
     * @return 0 up to the number of chunks
     */
    public int haveCount() {
        return have.cardinality();
    }

    /**
     * Tells whether every chunk was verified.
     *
     * @return true if none is missing
     */
    public boolean complete() {
        return have.cardinality() == chunkCount;
    }

    /**
     * Tells whether a chunk is being fetched.
     *
     * @param index index of the chunk
     * @return true if a request for it is under way
     */
    public boolean fetching(int index) {
        return open.contains(index);
    }

    /**
     * Chooses one request.
     *
     * @param now present time
     * @return the request, or null if there is none to send now
     */
    private FetchOrder choose(Instant now) {
        FetchOrder own = chooseWalk(now, true);
        if (own != null) {
            return own;
        }
        FetchOrder offered = chooseOffered(now, false);
        if (offered != null) {
            return offered;
        }
        FetchOrder walked = walksOpen() < MAX_WALKS ? chooseWalk(now, false) : null;
        if (walked != null) {
            return walked;
        }
        FetchOrder extra = chooseExtra(now);
        return extra != null ? extra : chooseOffered(now, true);
    }

    /**
     * Chooses the rarest chunk that a usable peer offers.
     *
     * @param now present time
     * @param hedge whether to double a request that takes long
     * @return the request, or null
     */
    private FetchOrder chooseOffered(Instant now, boolean hedge) {
        int best = -1;
        int bestCount = Integer.MAX_VALUE;
        int ties = 0;
        for (int i = have.nextClearBit(0); i < chunkCount; i = have.nextClearBit(i + 1)) {
            if (hedge ? !open.mayDouble(i, now) : open.contains(i)) {
                continue;
            }
            int count = offers.count(i, now);
            if (count == 0 || count > bestCount) {
                continue;
            }
            ties = count < bestCount ? 1 : ties + 1;
            if (ties == 1 || random.nextInt(ties) == 0) {
                best = i;
            }
            bestCount = count;
        }
        if (best < 0) {
            return null;
        }
        return new FetchOrder(best, new ChunkSource(offers.leastBusy(best, now, random)));
    }

    /**
     * Chooses a chunk that no peer offers and that is due along its source walk.
     *
     * @param now present time
     * @param own whether to choose among the chunks that this host is the first to fetch for its
     *     region, or among the others
     * @return the request, or null
     */
    private FetchOrder chooseWalk(Instant now, boolean own) {
        int start = random.nextInt(chunkCount);
        for (int k = 0; k < chunkCount; k++) {
            int i = (start + k) % chunkCount;
            boolean idle = !have.get(i) && !open.contains(i);
            if (own != turns.own(i) || !turns.due(i, now) || !idle || offers.offeredByAny(i)) {
                continue;
            }
            FetchOrder order = step(i, now);
            if (order != null) {
                return order;
            }
        }
        return null;
    }

    /**
     * Chooses a chunk to ask of the origin out of turn, if the policy allows it.
     *
     * @param now present time
     * @return the request, or null
     */
    private FetchOrder chooseExtra(Instant now) {
        if (extraOriginChunks <= 0 || !originUsable(now) || turns.ownMissing(have)) {
            return null;
        }
        for (int i = have.nextClearBit(0); i < chunkCount; i = have.nextClearBit(i + 1)) {
            if (!open.contains(i)) {
                extraOriginChunks--;
                return new FetchOrder(i, ChunkSource.ORIGIN);
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
    private FetchOrder step(int index, Instant now) {
        List<ChunkSource> sources = walk.sources(index);
        int place = walkPlaces.getOrDefault(index, 0);
        while (place < sources.size() - 1
                && !offers.standing(sources.get(place).host()).usable(now)) {
            place++;
        }
        if (place >= sources.size()) {
            walkPlaces.remove(index);
            return null;
        }
        ChunkSource source = sources.get(place);
        boolean askable =
                source.isOrigin() ? originUsable(now) : offers.askable(source.host(), index, now);
        if (!askable) {
            return null;
        }
        walkPlaces.put(index, place);
        return new FetchOrder(index, source);
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
     * Counts the chunks of other hosts' turns that are sought along their source walk.
     *
     * @return number of chunks
     */
    private int walksOpen() {
        int count = 0;
        for (int index : open.chunks()) {
            count += !turns.own(index) && !offers.offeredByAny(index) ? 1 : 0;
        }
        return count;
    }
}
