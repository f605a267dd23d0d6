package org.papayawalk.daemon.swarm;

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

/**
 * Downloads the chunks of the wanted version, writes them to the staging area, and serves them to
 * peers.
 *
 * <p>All state is confined to a thread of this object, the weights thread. {@link #progress()} is
 * safe from any thread; the other public methods pass their work to the weights thread.
 */
public final class Swarm implements AutoCloseable {
    /** Interval between ticks while the wanted version is incomplete. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(25);

    /** Interval between ticks while the wanted version is complete. */
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(500);

    /** Time for which peers can still read the version before the wanted one. */
    private static final Duration PREVIOUS_VERSION_RETENTION = Duration.ofSeconds(8);

    /** Backlog of the paced downlink above which no further chunks are requested. */
    private static final Duration MAX_BACKLOG = Duration.ofMillis(100);

    private final SwarmPeer self;

    private final WeightSettings settings;

    private final InstantSource clock;

    private final RetryingManifestFetcher manifestFetcher;

    private final ChunkFetcher fetcher;

    private final StagingWriter stagingWriter;

    private final SwarmDependencies dependencies;

    private final ControlThread thread;

    private final CachedVersion cachedVersion;

    private final LinkPacer downlink;

    private final AvailabilityAnnouncer announcer;

    private final PendingChunkQueries pendingQueries;

    private final StagedChunkRecovery recovery;

    /** Whether ticks are scheduled at {@link #TICK_INTERVAL}. */
    private boolean fetching;

    /** None if no version is wanted. */
    private Digest wantedDigest = Digest.NONE;

    /** Download of the wanted version, null until its manifest is known. */
    private ChunkPlanner download;

    /** Manifest of the wanted version, null until it is known. */
    private Manifest manifest;

    private volatile DownloadProgress progress = DownloadProgress.NONE;

    /** Sources of the present download, null until it starts. */
    private DownloadTally tally;

    /** Called when a download is complete and published. */
    private volatile Runnable completionListener = () -> {};

    /**
     * Starts the weights thread. No version is wanted at first.
     *
     * @param self this host as a peer of the swarm
     * @param settings rates and memory limit of the distribution
     * @param clock clock
     * @param work executor for blocking calls
     * @param dependencies peers, origin and staging area
     */
    public Swarm(
            SwarmPeer self,
            WeightSettings settings,
            InstantSource clock,
            Executor work,
            SwarmDependencies dependencies) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.dependencies = dependencies;
        this.cachedVersion = new CachedVersion(new ChunkCache(settings.chunkMemoryBytes()));
        this.downlink = new LinkPacer(settings.downlinkBytesPerSecond());
        this.fetcher = new ChunkFetcher(dependencies, downlink, clock, work);
        this.announcer = new AvailabilityAnnouncer(dependencies.transport());
        this.thread = new ControlThread("weights-" + self.host());
        this.pendingQueries = new PendingChunkQueries(thread);
        this.recovery = new StagedChunkRecovery(dependencies.stagingArea(), work, thread);
        this.manifestFetcher =
                new RetryingManifestFetcher(
                        new ManifestFetcher(self.host(), dependencies, work), thread);
        this.stagingWriter =
                new StagingWriter(
                        dependencies.stagingArea(),
                        work,
                        thread,
                        () -> publish("writing a chunk to the staging area failed; retrying"));
        thread.scheduleRepeatedly(IDLE_TICK_INTERVAL, this::tick);
    }

    /**
     * Sets the version to download. Chunks that it shares with the previous version stay cached;
     * the other chunks are evicted once the new manifest is known.
     *
     * @param digest digest of the manifest, or none
     */
    public void setWantedVersion(Digest digest) {
        thread.execute(
                () -> {
                    if (digest.equals(wantedDigest)) {
                        return;
                    }
                    wantedDigest = digest;
                    download = null;
                    manifest = null;
                    manifestFetcher.cancel();
                    stagingWriter.reset();
                    pendingQueries.answerAllWaiting();
                    publish("");
                    if (!fetching) {
                        tickUntilComplete();
                    }
                });
    }

    /**
     * Resets the staging area, for example after the engine was restarted and has lost its chunks.
     * Starts the download of the wanted version from the cached chunks unless it has started.
     */
    public void restage() {
        thread.execute(
                () -> {
                    stagingWriter.reset();
                    cachedVersion.manifest(wantedDigest).ifPresent(this::useManifest);
                });
    }

    /**
     * Sets what is told of each complete download, after its progress is published.
     *
     * @param listener run on the weights thread; must not block
     */
    public void onComplete(Runnable listener) {
        completionListener = listener;
    }

    /**
     * Returns the progress of the wanted version.
     *
     * @return progress as last published by the weights thread
     */
    public DownloadProgress progress() {
        return progress;
    }

    /**
     * Looks up the manifest of a version.
     *
     * @param digest digest of the manifest
     * @param reply receives the manifest on the weights thread, empty if this host does not have it
     */
    public void manifest(Digest digest, Consumer<Optional<VerifiedManifest>> reply) {
        thread.execute(() -> reply.accept(cachedVersion.manifest(digest)));
    }

    /**
     * Handles an announcement of a peer. A new contact gets an announcement of this host in return.
     *
     * @param peer peer that sent the announcement
     * @param digestPrefix first digits of the digest of the manifest
     * @param peerHeld indexes of the chunks that the peer holds
     * @param peerFetches indexes of the chunks that it is receiving from the origin
     */
    public void updateAvailability(
            HostId peer, String digestPrefix, BitSet peerHeld, BitSet peerFetches) {
        thread.execute(
                () -> {
                    if (!wantedDigest.shortText().equals(digestPrefix) || download == null) {
                        return;
                    }
                    download.updateAvailability(peer, peerHeld);
                    download.updateFetches(peer, peerFetches, clock.instant());
                    BitSet held = cachedVersion.cachedChunks();
                    announcer.answer(peer, wantedDigest, held, download.fetches(), clock.instant());
                });
    }

    /**
     * Reads a cached chunk.
     *
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @return its bytes, or empty if it is not cached
     */
    public CompletableFuture<Optional<byte[]>> chunk(Digest digest, int index) {
        return CompletableFuture.supplyAsync(
                () -> cachedVersion.chunk(digest, index), thread::execute);
    }

    /**
     * Answers a chunk request of a peer. The response is delayed for a short time if this host is
     * fetching the chunk.
     *
     * @param query request
     * @param reply receives the response on the weights thread
     */
    public void handleQuery(ChunkQuery query, Consumer<ChunkResponse> reply) {
        thread.execute(
                () -> {
                    boolean isWanted = query.digest().equals(wantedDigest);
                    if (isWanted && download != null) {
                        announcer.recordContact(query.peer(), clock.instant());
                        download.updateAvailability(query.peer(), query.heldChunks());
                    }
                    boolean beingFetched =
                            isWanted && (download == null || download.fetches(query.index()));
                    pendingQueries.answerOrWait(cachedVersion, query, beingFetched, reply);
                });
    }

    @Override
    public void close() {
        thread.close();
    }

    private void tickUntilComplete() {
        tick();
        fetching = wantedDigest.isPresent() && (download == null || !download.isComplete());
        if (fetching) {
            thread.schedule(TICK_INTERVAL, this::tickUntilComplete);
        }
    }

    // Fetches the manifest if it is not known; otherwise sends chunk requests and announcements.
    private void tick() {
        Instant now = clock.instant();
        if (download == null) {
            fetchManifest();
            return;
        }
        download.updatePeers(dependencies.membership().peers(wantedDigest, now));
        if (downlink.backlog(now).compareTo(MAX_BACKLOG) <= 0) {
            BitSet chunks = cachedVersion.cachedChunks();
            ChunkPlanner current = download;
            for (FetchRequest request : download.nextRequests(now)) {
                fetcher.fetch(
                        request,
                        wantedDigest,
                        manifest,
                        chunks,
                        (r, response, delay) ->
                                thread.schedule(delay, () -> onFetched(r, response, current)));
            }
        }
        BitSet held = cachedVersion.cachedChunks();
        announcer.announceIfDue(wantedDigest, held, download.fetches(), download.neighbors(), now);
    }

    private void fetchManifest() {
        if (!wantedDigest.isPresent()) {
            return;
        }
        Optional<VerifiedManifest> known = cachedVersion.manifest(wantedDigest);
        if (known.isPresent()) {
            useManifest(known.get());
            return;
        }
        Digest digest = wantedDigest;
        Supplier<List<SwarmPeer>> peers =
                () -> dependencies.membership().peers(digest, clock.instant());
        manifestFetcher.fetch(digest, peers, this::useManifest, this::publish);
    }

    // Called with the manifest of the wanted version.
    private void useManifest(VerifiedManifest verified) {
        cachedVersion.switchTo(wantedDigest, verified);
        Digest switchedTo = wantedDigest;
        thread.schedule(PREVIOUS_VERSION_RETENTION, () -> dropPreviousOf(switchedTo));
        manifest = verified.manifest();
        recovery.recoverThen(manifest, this::startDownload);
    }

    // Has no effect if another version is wanted meanwhile, whose own retention then counts.
    private void dropPreviousOf(Digest version) {
        if (version.equals(wantedDigest)) {
            cachedVersion.dropPrevious();
        }
    }

    // Has no effect if the download has started or another version is wanted meanwhile.
    private void startDownload() {
        if (download != null || manifest == null) {
            return;
        }
        Set<Integer> kept = recovery.transferTo(manifest, cachedVersion);
        download = settings.plannerFactory().create(self, wantedDigest, manifest, clock.instant());
        download.updatePeers(dependencies.membership().peers(wantedDigest, clock.instant()));
        for (int i = 0; i < manifest.chunkCount(); i++) {
            int index = i;
            if (kept.contains(i)) {
                download.markHeld(i);
            } else {
                cachedVersion
                        .chunk(i)
                        .ifPresent(d -> stage(index, d, () -> download.markHeld(index)));
            }
        }
        tally = new DownloadTally(wantedDigest, manifest.chunkCount(), clock.instant());
        publish("");
        tick();
    }

    // Ignores results for a download that is no longer the current one.
    private void onFetched(FetchRequest request, ChunkResponse response, ChunkPlanner forDownload) {
        if (forDownload != download) {
            return;
        }
        if (response.result() != FetchResult.VERIFIED) {
            recordResult(request, response);
            return;
        }
        if (stagingWriter.hasStarted(request.index())) {
            // Second copy of the chunk: the first one is recorded once it is staged.
            recordResult(
                    request,
                    new ChunkResponse(FetchResult.BUSY, response.data(), response.heldChunks()));
            return;
        }
        tally.received(request.source());
        cachedVersion.put(request.index(), response.data());
        pendingQueries.answerWaiting(request.index());
        stage(request.index(), response.data(), () -> recordResult(request, response));
    }

    // Writes a verified chunk to the staging area, then runs the action on the weights thread.
    private void stage(int index, byte[] data, Runnable done) {
        ChunkPlanner current = download;
        stagingWriter.write(
                new StagingWriter.Chunk(wantedDigest, manifest, index, data),
                () -> current == download,
                () -> {
                    done.run();
                    publish("");
                    if (download.isComplete()) {
                        tally.complete(clock.instant());
                        completionListener.run();
                    }
                    tick();
                });
    }

    private void recordResult(FetchRequest request, ChunkResponse response) {
        if (response.heldChunks() != null && !request.source().isOrigin()) {
            download.updateAvailability(request.source().host(), response.heldChunks());
        }
        FetchResult result = response.result();
        download.recordResult(request, result, clock.instant());
        if (result == FetchResult.VERIFIED) {
            return;
        }
        if (!download.fetches(request.index())) {
            pendingQueries.answerWaiting(request.index());
        }
        publish(
                result == FetchResult.BUSY
                        ? ""
                        : "chunk request to " + request.source() + " ended with " + result);
    }

    private void publish(String delayReason) {
        progress = DownloadProgress.of(wantedDigest, manifest, download, delayReason);
    }
}
