package org.papayawalk.lab.burst;

import java.time.Duration;
import java.time.InstantSource;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.id.RegionId;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.LinkPacer;
import org.papayawalk.daemon.swarm.ChunkResponse;
import org.papayawalk.daemon.swarm.ChunkTransport;

/**
 * Transport that paces chunks between regions and injects the faults {@code stall} and {@code
 * corrupt}. Thread-safe.
 */
final class BurstTransport implements ChunkTransport {
    /** Time after which a request on a stalled link fails, in milliseconds. */
    private static final long STALL_MILLIS = 5000;

    /** Share of the links that the fault {@code stall} stalls. */
    private static final double STALLED_LINK_SHARE = 0.05;

    /** Share of the chunks that the fault {@code corrupt} changes. */
    private static final double CORRUPT_CHUNK_SHARE = 0.01;

    private final ChunkTransport delegate;

    private final HostId self;

    private final Map<HostId, RegionId> regionByHost;

    private final RegionLinks links;

    private final BurstSettings settings;

    private final InstantSource clock;

    /** Guarded by itself. */
    private final Random random;

    private final AtomicLong corruptedChunks;

    /**
     * Creates a transport.
     *
     * @param delegate transport that sends the requests
     * @param self name of this host
     * @param regionByHost region of each host
     * @param links links between regions
     * @param settings settings of the experiment
     * @param clock clock of the pacers
     * @param corruptedChunks counter of changed chunks, shared by all hosts
     */
    BurstTransport(
            ChunkTransport delegate,
            HostId self,
            Map<HostId, RegionId> regionByHost,
            RegionLinks links,
            BurstSettings settings,
            InstantSource clock,
            AtomicLong corruptedChunks) {
        this.delegate = delegate;
        this.self = self;
        this.regionByHost = regionByHost;
        this.links = links;
        this.settings = settings;
        this.clock = clock;
        this.random = new Random(settings.seed() ^ self.hashCode());
        this.corruptedChunks = corruptedChunks;
    }

    @Override
    public CompletableFuture<ChunkResponse> requestChunk(
            HostId peer, Digest digest, int index, BitSet held) {
        if (isStalled(peer)) {
            CompletableFuture<ChunkResponse> stalled = new CompletableFuture<>();
            return stalled.completeOnTimeout(
                    ChunkResponse.FAILED, STALL_MILLIS, TimeUnit.MILLISECONDS);
        }
        CompletableFuture<ChunkResponse> response =
                delegate.requestChunk(peer, digest, index, held);
        RegionId from = regionByHost.get(peer);
        RegionId to = regionByHost.get(self);
        if (!from.equals(to)) {
            response = response.thenCompose(r -> delayOnLink(from, to, r));
        }
        return settings.hasFault("corrupt") ? response.thenApply(this::corrupt) : response;
    }

    @Override
    public CompletableFuture<Optional<byte[]>> requestManifest(HostId peer, Digest digest) {
        return delegate.requestManifest(peer, digest);
    }

    @Override
    public void announceChunks(HostId peer, Digest digest, BitSet held, BitSet fetches) {
        if (!isStalled(peer)) {
            delegate.announceChunks(peer, digest, held, fetches);
        }
    }

    // Completes with the response after the time that its chunk needs on the link.
    private CompletableFuture<ChunkResponse> delayOnLink(
            RegionId from, RegionId to, ChunkResponse response) {
        if (response.result() != FetchResult.VERIFIED) {
            return CompletableFuture.completedFuture(response);
        }
        LinkPacer link = links.countAndGetPacer(from, to, response.data().length);
        Duration delay = link.reserve(response.data().length, clock.instant());
        Executor delayed = CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS);
        return CompletableFuture.supplyAsync(() -> response, delayed);
    }

    // Changes one byte in a share of the chunks.
    private ChunkResponse corrupt(ChunkResponse response) {
        boolean hit;
        synchronized (random) {
            hit = random.nextDouble() < CORRUPT_CHUNK_SHARE;
        }
        if (response.result() != FetchResult.VERIFIED || !hit) {
            return response;
        }
        corruptedChunks.incrementAndGet();
        byte[] data = response.data().clone();
        data[data.length / 3] ^= 4;
        return new ChunkResponse(response.result(), data, response.heldChunks());
    }

    // Tells whether the link to a peer is stalled; the same links are stalled for the whole run.
    private boolean isStalled(HostId peer) {
        if (!settings.hasFault("stall")) {
            return false;
        }
        long pairSeed = settings.seed() * 31 + self.hashCode() * 17L + peer.hashCode();
        return new SplittableRandom(pairSeed).nextDouble() < STALLED_LINK_SHARE;
    }
}
