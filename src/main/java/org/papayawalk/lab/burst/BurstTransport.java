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
import org.papayawalk.daemon.standalone.agent.ChunkResponse;
import org.papayawalk.daemon.standalone.agent.ChunkTransport;

/** Puts thin links between regions, and faults, before the transport of an agent. Thread-safe. */
final class BurstTransport implements ChunkTransport {
    /** Time that a request on a stalled link hangs, in milliseconds. */
    private static final long STALL_MILLIS = 5000;

    /** Share of links that stall. */
    private static final double STALLED_LINKS = 0.05;

    /** Share of chunks that arrive corrupted. */
    private static final double CORRUPT_CHUNKS = 0.01;

    /** Transport. */
    private final ChunkTransport inner;

    /** Name of this host. */
    private final HostId self;

    /** Regions by host. */
    private final Map<HostId, RegionId> regions;

    /** Links between regions. */
    private final RegionLinks links;

    /** Settings. */
    private final BurstSettings settings;

    /** Clock. */
    private final InstantSource clock;

    /** Source of chance. */
    private final Random random;

    /** Chunks that arrived corrupted. */
    private final AtomicLong corrupted;

    /**
     * Creates a transport.
     *
     * @param inner transport
     * @param self name of this host
     * @param regions regions by host
     * @param links links between regions
     * @param settings settings
     * @param clock clock
     * @param corrupted counts chunks that arrived corrupted
     */
    BurstTransport(
            ChunkTransport inner,
            HostId self,
            Map<HostId, RegionId> regions,
            RegionLinks links,
            BurstSettings settings,
            InstantSource clock,
            AtomicLong corrupted) {
        this.inner = inner;
        this.self = self;
        this.regions = regions;
        this.links = links;
        this.settings = settings;
        this.clock = clock;
        this.random = new Random(settings.seed() ^ self.hashCode());
        this.corrupted = corrupted;
    }

    @Override
    public CompletableFuture<ChunkResponse> requestChunk(
            HostId peer, Digest digest, int index, BitSet held) {
        if (stalled(peer)) {
            CompletableFuture<ChunkResponse> hangs = new CompletableFuture<>();
            return hangs.completeOnTimeout(
                    ChunkResponse.FAILED, STALL_MILLIS, TimeUnit.MILLISECONDS);
        }
        CompletableFuture<ChunkResponse> answer = inner.requestChunk(peer, digest, index, held);
        RegionId from = regions.get(peer);
        RegionId to = regions.get(self);
        if (!from.equals(to)) {
            answer = answer.thenCompose(a -> acrossRegions(from, to, a));
        }
        return settings.fault("corrupt") ? answer.thenApply(this::corrupt) : answer;
    }

    @Override
    public CompletableFuture<Optional<byte[]>> requestManifest(HostId peer, Digest digest) {
        return inner.requestManifest(peer, digest);
    }

    @Override
    public void announceChunks(HostId peer, Digest digest, BitSet held) {
        if (!stalled(peer)) {
            inner.announceChunks(peer, digest, held);
        }
    }

    /**
     * Delays an answer by the pace of a thin link.
     *
     * @param from region of the sender
     * @param to region of the receiver
     * @param answer answer
     * @return the answer after its time on the link
     */
    private CompletableFuture<ChunkResponse> acrossRegions(
            RegionId from, RegionId to, ChunkResponse answer) {
        if (answer.result() != FetchResult.VERIFIED) {
            return CompletableFuture.completedFuture(answer);
        }
        LinkPacer link = links.between(from, to, answer.data().length);
        Duration delay = link.reserve(answer.data().length, clock.instant());
        Executor later = CompletableFuture.delayedExecutor(delay.toNanos(), TimeUnit.NANOSECONDS);
        return CompletableFuture.supplyAsync(() -> answer, later);
    }

    /**
     * Corrupts a share of the answers.
     *
     * @param answer answer
     * @return the answer, possibly with another byte
     */
    private ChunkResponse corrupt(ChunkResponse answer) {
        boolean hit;
        synchronized (random) {
            hit = random.nextDouble() < CORRUPT_CHUNKS;
        }
        if (answer.result() != FetchResult.VERIFIED || !hit) {
            return answer;
        }
        corrupted.incrementAndGet();
        byte[] data = answer.data().clone();
        data[data.length / 3] ^= 4;
        return new ChunkResponse(answer.result(), data, answer.heldChunks());
    }

    /**
     * Tells whether the link to a peer stalls.
     *
     * @param peer peer
     * @return true for a fixed share of the pairs
     */
    private boolean stalled(HostId peer) {
        if (!settings.fault("stall")) {
            return false;
        }
        long pair = settings.seed() * 31 + self.hashCode() * 17L + peer.hashCode();
        return new SplittableRandom(pair).nextDouble() < STALLED_LINKS;
    }
}
