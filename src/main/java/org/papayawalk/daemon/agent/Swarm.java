package org.papayawalk.daemon.agent;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.ChunkPlanner;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.LinkPacer;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.core.weight.SwarmPeer;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.log.Event;

/**
 * Fetches the wanted version's chunks, writes them to the engine and offers them to peers. All
 * state belongs to one thread of its own, the weights thread; {@link #progress()} is safe from any
 * thread, and the other public methods hand over to that thread.
 */
public final class Swarm implements AutoCloseable {
    /** Time between looks for requests to send. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(25);

    /** Time between looks while the version wanted is complete. */
    private static final Duration CALM_INTERVAL = Duration.ofMillis(500);

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

    /** What the swarm talks to. */
    private final SwarmPorts ports;

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

    /** Whether looks for work follow each other closely. */
    private boolean running;

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
     * @param ports what the swarm talks to
     */
    public Swarm(
            SwarmPeer self,
            WeightSettings settings,
            InstantSource clock,
            Executor work,
            SwarmPorts ports) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.ports = ports;
        this.held = new HeldVersion(new ChunkStore(settings.memoryBytes()));
        this.downlink = new LinkPacer(settings.downlinkBytesPerSecond());
        this.fetcher = new ChunkFetcher(ports.transport(), ports.origin(), downlink, clock, work);
        this.offers = new OfferExchange(ports.transport());
        this.thread = new ControlThread("weights-" + self.host());
        this.parked = new ParkedRequests(thread);
        this.restoring = new RestoredChunks(ports.stager(), work, thread);
        this.manifests =
                new ManifestSeeker(
                        new ManifestFinder(
                                self.host(),
                                ports.transport(),
                                ports.origin(),
                                ports.reader(),
                                work),
                        thread);
        this.staging =
                new StagingLine(
                        ports.stager(),
                        work,
                        thread,
                        () -> publish("the engine does not take chunks"));
        thread.scheduleRepeatedly(CALM_INTERVAL, this::tick);
    }

    /**
     * Sets the wanted version. Chunks that it shares with the version before are kept; the rest of
     * that version is dropped at once.
     *
     * @param digest digest of the manifest, or none
     */
    public void want(Digest digest) {
        thread.execute(
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
                    if (!running) {
                        run();
                    }
                });
    }

    /** Starts over with what is held, such as after the engine lost what was written to it. */
    public void engineRestarted() {
        thread.execute(
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
        thread.execute(() -> reply.accept(held.manifest(digest)));
    }

    /**
     * Takes a peer's offer.
     *
     * @param peer peer that offers
     * @param digestPrefix first digits of the manifest's digest
     * @param peerHeld chunks that it holds
     */
    public void offered(HostId peer, String digestPrefix, BitSet peerHeld) {
        thread.execute(
                () -> {
                    if (!wanted.shortText().equals(digestPrefix) || download == null) {
                        return;
                    }
                    download.updateAvailability(peer, peerHeld);
                    if (offers.contact(peer, clock.instant())) {
                        ports.transport().offer(peer, wanted, held.chunks());
                    }
                });
    }

    /**
     * Provides a chunk.
     *
     * @param digest digest of the version
     * @param index index of the chunk
     * @return bytes, empty if it is not held
     */
    public CompletableFuture<Optional<byte[]>> chunk(Digest digest, int index) {
        return CompletableFuture.supplyAsync(() -> held.chunk(digest, index), thread::execute);
    }

    /**
     * Answers a peer, which may wait a little for a chunk that is being fetched.
     *
     * @param query request
     * @param reply takes the answer
     */
    public void requested(ChunkQuery query, Consumer<ChunkAnswer> reply) {
        thread.execute(
                () -> {
                    boolean meant = query.digest().equals(wanted);
                    if (meant && download != null) {
                        offers.contact(query.peer(), clock.instant());
                        download.updateAvailability(query.peer(), query.held());
                    }
                    boolean coming = meant && (download == null || download.fetches(query.index()));
                    parked.answer(held, query, coming, reply);
                });
    }

    @Override
    public void close() {
        thread.close();
    }

    /** Sends the requests and offers that are due. */
    private void run() {
        tick();
        running = wanted.isPresent() && (download == null || !download.isComplete());
        if (running) {
            thread.schedule(TICK_INTERVAL, this::run);
        }
    }

    /** Sends what is due. */
    private void tick() {
        Instant now = clock.instant();
        if (download == null) {
            seekManifest();
            return;
        }
        download.updatePeers(ports.view().peers(wanted, now));
        if (downlink.backlog(now).compareTo(MAX_BACKLOG) <= 0) {
            BitSet chunks = held.chunks();
            ChunkPlanner current = download;
            for (FetchRequest order : download.nextRequests(now)) {
                fetcher.fetch(
                        order,
                        wanted,
                        manifest,
                        chunks,
                        (o, a, delay) -> thread.schedule(delay, () -> arrived(o, a, current)));
            }
        }
        offers.offer(wanted, held.chunks(), download.neighbors(), now);
    }

    /** Looks for the manifest of the wanted version, if there is one. */
    private void seekManifest() {
        if (!wanted.isPresent()) {
            return;
        }
        Optional<FoundManifest> known = held.manifest(wanted);
        if (known.isPresent()) {
            start(known.get());
            return;
        }
        Digest sought = wanted;
        Supplier<List<SwarmPeer>> peers = () -> ports.view().peers(sought, clock.instant());
        manifests.seek(sought, peers, this::start, this::publish);
    }

    /**
     * Takes the manifest of the version wanted.
     *
     * @param found manifest
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
        download.updatePeers(ports.view().peers(wanted, clock.instant()));
        for (int i = 0; i < manifest.chunkCount(); i++) {
            int index = i;
            if (kept.contains(i)) {
                download.markHeld(i);
            } else {
                held.chunk(i).ifPresent(d -> stage(index, d, () -> download.markHeld(index)));
            }
        }
        Event.named("download-started")
                .with("digest", wanted.shortText())
                .with("chunks", manifest.chunkCount())
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
    private void arrived(FetchRequest order, ChunkAnswer answer, ChunkPlanner forDownload) {
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
    private void ended(FetchRequest order, ChunkAnswer answer) {
        if (answer.held() != null && !order.source().isOrigin()) {
            download.updateAvailability(order.source().host(), answer.held());
        }
        FetchResult result = answer.result();
        download.recordResult(order, result, clock.instant());
        if (result == FetchResult.VERIFIED) {
            return;
        }
        if (!download.fetches(order.index())) {
            parked.release(order.index());
        }
        publish(result == FetchResult.BUSY ? "" : order.source() + " gave " + result);
    }

    /**
     * Publishes the progress.
     *
     * @param remark what keeps the version back, may be empty
     */
    private void publish(String remark) {
        progress = WeightProgress.of(wanted, manifest, download, remark);
    }
}
