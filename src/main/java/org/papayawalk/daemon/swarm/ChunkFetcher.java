package org.papayawalk.daemon.swarm;

import java.time.Duration;
import java.time.InstantSource;
import java.util.BitSet;
import java.util.concurrent.Executor;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Origin;
import org.papayawalk.core.weight.FetchRequest;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.LinkPacer;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.log.Event;

/**
 * Requests chunks from peers and the origin, verifies them, and paces them on the downlink.
 *
 * <p>Thread-safe; results are passed to the listener on worker threads.
 */
final class ChunkFetcher {
    private final ChunkTransport transport;

    private final Origin origin;

    private final LinkPacer downlink;

    private final InstantSource clock;

    private final Executor work;

    /**
     * Creates a fetcher.
     *
     * @param dependencies peers and origin
     * @param downlink pacer of the chunks received
     * @param clock clock
     * @param work executor for blocking calls
     */
    ChunkFetcher(
            SwarmDependencies dependencies,
            LinkPacer downlink,
            InstantSource clock,
            Executor work) {
        this.transport = dependencies.transport();
        this.origin = dependencies.origin();
        this.downlink = downlink;
        this.clock = clock;
        this.work = work;
    }

    /** Receives the result of a request. */
    interface Listener {
        /**
         * Called once on a worker thread when a request has ended.
         *
         * @param request request that has ended
         * @param response response, whose result is {@code VERIFIED} only if the bytes match the
         *     manifest
         * @param delay time until the paced downlink has received the bytes, zero without bytes
         */
        void completed(FetchRequest request, ChunkResponse response, Duration delay);
    }

    /**
     * Sends a request to its source.
     *
     * @param request request
     * @param digest digest of the manifest
     * @param manifest manifest
     * @param held indexes of the chunks held by this host, reported to the peer
     * @param listener receives the result
     */
    void fetch(
            FetchRequest request,
            Digest digest,
            Manifest manifest,
            BitSet held,
            Listener listener) {
        if (request.source().isOrigin()) {
            work.execute(
                    () ->
                            verify(
                                    request,
                                    fetchFromOrigin(digest, request.index()),
                                    manifest,
                                    listener));
            return;
        }
        transport
                .requestChunk(request.source().host(), digest, request.index(), held)
                .thenAcceptAsync(r -> verify(request, r, manifest, listener), work);
    }

    private ChunkResponse fetchFromOrigin(Digest digest, int index) {
        return origin.chunk(digest, index)
                .fold(
                        f -> ChunkResponse.FAILED,
                        data -> new ChunkResponse(FetchResult.VERIFIED, data, null));
    }

    // Replaces the result by CORRUPT if the bytes do not match the manifest.
    private void verify(
            FetchRequest request, ChunkResponse response, Manifest manifest, Listener listener) {
        if (response.result() != FetchResult.VERIFIED) {
            listener.completed(request, response, Duration.ZERO);
            return;
        }
        Duration delay = downlink.reserve(response.data().length, clock.instant());
        if (manifest.matches(request.index(), response.data())) {
            listener.completed(request, response, delay);
            return;
        }
        Event.named("chunk-corrupt")
                .with("index", request.index())
                .with("peer", request.source())
                .with("bytes", response.data().length)
                .warn();
        ChunkResponse corrupt =
                new ChunkResponse(FetchResult.CORRUPT, response.data(), response.heldChunks());
        listener.completed(request, corrupt, delay);
    }
}
