package org.papayawalk.daemon.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.BitSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.FetchOrder;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.LinkPacer;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.node.ControlThread;
import org.papayawalk.log.Event;

/**
 * Fetches the wanted version's chunks, writes them to the engine and offers them to peers. All
 * state belongs to one thread of its own, the weights thread; {@link #progress()} is safe from any
 * thread, and the other public methods hand over to that thread.
 */
public final class Swarm implements AutoCloseable {
    /** Time between looks for requests to send. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(25);

    /** Reserved time on the downlink above which no further chunk is asked for. */
    private static final Duration MAX_BACKLOG = Duration.ofMillis(100);

    /** Identity of the host in the swarm. */
    private final SwarmPeer self;

    /** Settings. */
    private final WeightSettings settings;

    /** Clock. */
    private final InstantSource clock;

    /** Seeks manifests. */
    private final ManifestSeeker manifests;

    /** Asks sources for chunks. */
    private final ChunkFetcher fetcher;

    /** Writes chunks to the engine. */
    private final StagingLine staging;

    /** Hosts that want a version. */
    private final SwarmView view;

    /** Messages to peers. */
    private final ChunkTransport transport;

    /** Weights thread. */
    private final ControlThread thread;

    /** Version whose chunks are held. */
    private final HeldVersion held;

    /** Share of the link for receiving. */
    private final LinkPacer downlink;

    /** Offers to neighbours. */
    private final OfferExchange offers;

    /** Requests of peers that wait for a chunk. */
    private final ParkedRequests parked;

    /** Chunks that an earlier process staged. */
    private final RestoredChunks restoring;

    /** Version wanted. */
    private Digest wanted = Digest.NONE;

    /** Download of the wanted version, or null before its manifest is known. */
    private ChunkPlanner download;

    /** Manifest of the wanted version, or null. */
    private Manifest manifest;

    /** Progress as last published. */
    private volatile WeightProgress progress = WeightProgress.NONE;

    /**
     * Starts the weights thread.
     *
     * @param self identity of the host in the swarm
     * @param settings settings
     * @param clock clock
     * @param work threads for calls that block
     * @param transport messages to peers
     * @param origin origin of the weights
     * @param stager writes chunks to the engine
     * @param reader reads manifests
     * @param view hosts that want a version
     */
    public Swarm(
            SwarmPeer self,
            WeightSettings settings,
            InstantSource clock,
            Executor work,
            ChunkTransport transport,
            Origin origin,
            Stager stager,
            ManifestReader reader,
            SwarmView view) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.transport = transport;
        this.view = view;
        this.held = new HeldVersion(new ChunkStore(settings.memoryBytes()));
        this.downlink = new LinkPacer(settings.downlinkBytesPerSecond());
        this.fetcher = new ChunkFetcher(transport, origin, downlink, clock, work);
        this.offers = new OfferExchange(transport);
        this.thread = new ControlThread("weights-" + self.host());
        this.parked = new ParkedRequests(thread);
        this.restoring = new RestoredChunks(stager, work, thread);
        this.manifests =
                new ManifestSeeker(
                        new ManifestFinder(self.host(), transport, origin, reader, work), thread);
        this.staging =
                new StagingLine(
                        stager, work, thread, () -> publish("the engine does not take chunks"));
        thread.every(TICK_INTERVAL, this::tick);
    }

    /**
     * Sets the wanted version. Chunks that it shares with the version before are kept; the rest of
     * that version is dropped at once.
     *
     * @param digest digest of the manifest, or none
     */
    public void want(Digest digest) {
        thread.run(
                () -> {
                    if (digest.equals(wanted)) {
                        return;
                    }
                    wanted = digest;
                    download = null;
                    manifest = null;
                    manifests.stop();
                    staging.reset();
                    parked.releaseAll();
                    publish("");
                    tick();
                });
    }

    /** Starts over with what is held, such as after the engine lost what was written to it. */
    public void engineRestarted() {
        thread.run(
                () -> {
                    staging.reset();
                    held.manifest(wanted).ifPresent(this::start);
                });
    }

    /**
     * Returns the progress of the wanted version.
     *
     * @return progress as of the last change
     */
    public WeightProgress progress() {
        return progress;
    }

    /**
     * Looks up the manifest of a version.
     *
     * @param digest digest of the manifest
     * @param reply takes the manifest, or empty if it is not known here
     */
    public void manifest(Digest digest, Consumer<Optional<FoundManifest>> reply) {
        thread.run(() -> reply.accept(held.manifest(digest)));
    }

    /**
     * Takes a peer's offer.
     *
     * @param peer peer that offers
     * @param digestPrefix first digits of the manifest's digest
     * @param peerHeld chunks that it holds
     */
    public void offered(HostId peer, String digestPrefix, BitSet peerHeld) {
        thread.run(
                () -> {
                    if (!wanted.shortText().equals(digestPrefix) || download == null) {
                        return;
                    }
                    download.offered(peer, peerHeld);
                    if (offers.contact(peer, clock.instant())) {
                        transport.offer(peer, wanted, held.chunks());
                    }
                });
    }

    /**
     * Provides a chunk that is held.
     *
     * @param digest digest of the version
     * @param index index of the chunk
     * @return bytes, empty if the chunk is not held
     */
    public CompletableFuture<Optional<byte[]>> chunk(Digest digest, int index) {
        CompletableFuture<Optional<byte[]>> data = new CompletableFuture<>();
        thread.run(() -> data.complete(held.chunk(digest, index)));
        return data;
    }

    /**
     * Answers a peer's request for a chunk. One that is being fetched is waited for a little.
     *
     * @param peer peer that asks
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @param peerHeld chunks that the peer holds
     * @param reply takes the answer
     */
    public void requested(
            HostId peer, Digest digest, int index, BitSet peerHeld, Consumer<ChunkAnswer> reply) {
        thread.run(
                () -> {
                    boolean current = digest.equals(wanted) && download != null;
                    if (current) {
                        offers.contact(peer, clock.instant());
                        download.offered(peer, peerHeld);
                    }
                    boolean coming = current && download.expects(index);
                    if (coming && held.chunk(index).isEmpty()) {
                        parked.park(index, () -> reply.accept(held.answer(digest, index, true)));
                        return;
                    }
                    reply.accept(held.answer(digest, index, coming));
                });
    }

    @Override
    public void close() {
        thread.close();
    }

    /** Sends the requests and offers that are due. */
    private void tick() {
        Instant now = clock.instant();
        if (!wanted.isPresent()) {
            return;
        }
        if (download == null) {
            seekManifest();
            return;
        }
        download.swarm(view.peers(wanted, now));
        if (downlink.backlog(now).compareTo(MAX_BACKLOG) <= 0) {
            BitSet chunks = held.chunks();
            ChunkPlanner current = download;
            for (FetchOrder order : download.next(now)) {
                fetcher.fetch(
                        order,
                        wanted,
                        manifest,
                        chunks,
                        (o, answer, delay) ->
                                thread.later(delay, () -> arrived(o, answer, current)));
            }
        }
        offers.offer(wanted, held.chunks(), download.neighbours(), now);
    }

    /** Looks for the manifest of the wanted version. */
    private void seekManifest() {
        Optional<FoundManifest> known = held.manifest(wanted);
        if (known.isPresent()) {
            start(known.get());
            return;
        }
        Digest sought = wanted;
        manifests.seek(
                sought, () -> view.peers(sought, clock.instant()), this::start, this::publish);
    }

    /**
     * Starts the download of a version whose manifest is known.
     *
     * @param found manifest of the wanted version
     */
    private void start(FoundManifest found) {
        held.turnTo(wanted, found);
        manifest = found.manifest();
        restoring.before(manifest, this::begin);
    }

    /** Starts to fetch what is missing of the version wanted, unless that was done. */
    private void begin() {
        if (download != null || manifest == null) {
            return;
        }
        Set<Integer> kept = restoring.takeOver(manifest, held);
        download = settings.planners().create(self, wanted, manifest, clock.instant());
        download.swarm(view.peers(wanted, clock.instant()));
        for (int i = 0; i < manifest.chunkCount(); i++) {
            int index = i;
            if (kept.contains(i)) {
                download.keep(i);
            } else {
                held.chunk(i).ifPresent(d -> stage(index, d, () -> download.keep(index)));
            }
        }
        Event.named("download-started")
                .with("digest", wanted.shortText())
                .with("chunks", manifest.chunkCount())
                .with("bytes", manifest.sizeBytes())
                .info();
        publish("");
    }

    /**
     * Takes the result of a request.
     *
     * @param order request
     * @param answer answer, verified if it says so
     * @param forDownload download that sent the request
     */
    private void arrived(FetchOrder order, ChunkAnswer answer, ChunkPlanner forDownload) {
        if (forDownload != download) {
            return;
        }
        if (answer.result() != FetchResult.VERIFIED) {
            ended(order, answer);
            return;
        }
        if (staging.contains(order.index())) {
            // The chunk came twice; the first copy counts once the engine has it.
            ended(order, new ChunkAnswer(FetchResult.BUSY, answer.data(), answer.held()));
            return;
        }
        held.put(order.index(), answer.data());
        parked.release(order.index());
        stage(order.index(), answer.data(), () -> ended(order, answer));
    }

    /**
     * Writes a verified chunk to the engine.
     *
     * @param index index of the chunk
     * @param data its bytes
     * @param done records the chunk once the engine has it
     */
    private void stage(int index, byte[] data, Runnable done) {
        ChunkPlanner current = download;
        staging.write(
                new StagingLine.Chunk(wanted, manifest, index, data),
                () -> current == download,
                () -> {
                    done.run();
                    publish("");
                    tick();
                });
    }

    /**
     * Records the end of a request.
     *
     * @param order request
     * @param answer answer to it
     */
    private void ended(FetchOrder order, ChunkAnswer answer) {
        if (answer.held() != null && !order.source().isOrigin()) {
            download.offered(order.source().host(), answer.held());
        }
        download.ended(order, answer.result(), clock.instant());
        if (answer.result() == FetchResult.VERIFIED) {
            return;
        }
        if (!download.expects(order.index())) {
            parked.release(order.index());
        }
        boolean busy = answer.result() == FetchResult.BUSY;
        publish(busy ? "" : "source " + order.source() + " gave " + answer.result());
    }

    /**
     * Publishes the progress.
     *
     * @param remark what keeps the version back, empty if nothing does
     */
    private void publish(String remark) {
        int total = manifest == null ? 0 : manifest.chunkCount();
        int held = download == null ? 0 : download.haveCount();
        boolean staged = download != null && download.complete();
        progress = new WeightProgress(wanted, held, total, staged, staged ? "" : remark);
    }
}
