package org.papayawalk.daemon.standalone.agent;

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
 * Asks sources for chunks, verifies what they send and paces it on the downlink. Thread-safe;
 * results are handed over on work threads.
 */
final class ChunkFetcher {
    /** Messages to peers. */
    private final ChunkTransport transport;

    /** Origin. */
    private final Origin origin;

    /** Share of the link for receiving. */
    private final LinkPacer downlink;

    /** Clock. */
    private final InstantSource clock;

    /** Threads for calls that block. */
    private final Executor work;

    /**
     * Creates a fetcher.
     *
     * @param transport messages to peers
     * @param origin origin
     * @param downlink share of the link for receiving
     * @param clock clock
     * @param work threads for calls that block
     */
    ChunkFetcher(
            ChunkTransport transport,
            Origin origin,
            LinkPacer downlink,
            InstantSource clock,
            Executor work) {
        this.transport = transport;
        this.origin = origin;
        this.downlink = downlink;
        this.clock = clock;
        this.work = work;
    }

    /** Takes the result of a request. */
    interface Receiver {
        /**
         * Takes the result.
         *
         * @param order request
         * @param answer answer, whose result says whether its bytes were verified
         * @param delay time until the bytes count as received on the downlink
         */
        void received(FetchRequest order, ChunkResponse answer, Duration delay);
    }

    /**
     * Sends a request.
     *
     * @param order request
     * @param digest digest of the manifest
     * @param manifest manifest
     * @param held chunks held here
     * @param receiver takes the result
     */
    void fetch(
            FetchRequest order, Digest digest, Manifest manifest, BitSet held, Receiver receiver) {
        if (order.source().isOrigin()) {
            work.execute(
                    () -> arrived(order, fromOrigin(digest, order.index()), manifest, receiver));
            return;
        }
        transport
                .request(order.source().host(), digest, order.index(), held)
                .thenAcceptAsync(a -> arrived(order, a, manifest, receiver), work);
    }

    /**
     * Asks the origin.
     *
     * @param digest digest of the manifest
     * @param index index of the chunk
     * @return answer
     */
    private ChunkResponse fromOrigin(Digest digest, int index) {
        return origin.chunk(digest, index)
                .fold(
                        f -> ChunkResponse.FAILED,
                        data -> new ChunkResponse(FetchResult.VERIFIED, data, null));
    }

    /**
     * Verifies what a source sent.
     *
     * @param order request
     * @param answer answer to it
     * @param manifest manifest
     * @param receiver takes the result
     */
    private void arrived(
            FetchRequest order, ChunkResponse answer, Manifest manifest, Receiver receiver) {
        if (answer.result() != FetchResult.VERIFIED) {
            receiver.received(order, answer, Duration.ZERO);
            return;
        }
        Duration delay = downlink.reserve(answer.data().length, clock.instant());
        if (manifest.matches(order.index(), answer.data())) {
            receiver.received(order, answer, delay);
            return;
        }
        Event.named("chunk-corrupt")
                .with("index", order.index())
                .with("peer", order.source())
                .with("bytes", answer.data().length)
                .warn();
        ChunkResponse corrupt =
                new ChunkResponse(FetchResult.CORRUPT, answer.data(), answer.held());
        receiver.received(order, corrupt, delay);
    }
}
