package org.papayawalk.daemon.swarm;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.daemon.standalone.Node;
import org.papayawalk.wire.PeerClient;
import org.papayawalk.wire.TrafficClass;
import org.papayawalk.wire.proto.ChunkAvailability;
import org.papayawalk.wire.proto.ChunkReply;
import org.papayawalk.wire.proto.ChunkRequest;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ManifestRequest;

/** Chunk transport over the wire connections to other daemons. Thread-safe. */
public final class WireChunkTransport implements ChunkTransport {
    /** Maximum time to wait for a chunk. */
    private static final Duration CHUNK_TIMEOUT = Duration.ofSeconds(5);

    /** Maximum time to wait for a manifest. */
    private static final Duration MANIFEST_TIMEOUT = Duration.ofSeconds(2);

    private final HostId self;

    private final PeerClient client;

    private final Function<HostId, Optional<String>> addresses;

    /**
     * Creates a transport.
     *
     * @param self this host, named in the messages
     * @param client connections to other daemons
     * @param addresses looks up the address of a host, empty if it is not known
     */
    public WireChunkTransport(
            HostId self, PeerClient client, Function<HostId, Optional<String>> addresses) {
        this.self = self;
        this.client = client;
        this.addresses = addresses;
    }

    /**
     * Creates a transport over the connections of a node, with the addresses of its members.
     *
     * @param node node
     * @return transport
     */
    public static WireChunkTransport of(Node node) {
        return new WireChunkTransport(
                node.self().host(),
                node.client(),
                h -> node.member(h).map(m -> m.record().address()));
    }

    @Override
    public CompletableFuture<ChunkResponse> requestChunk(
            HostId peer, Digest digest, int index, BitSet held) {
        Optional<String> address = addresses.apply(peer);
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(ChunkResponse.FAILED);
        }
        ChunkRequest request =
                ChunkRequest.newBuilder()
                        .setHost(self.value())
                        .setDigest(digest.value())
                        .setIndex(index)
                        .setBitmap(ByteString.copyFrom(held.toByteArray()))
                        .build();
        return client.request(
                        address.get(),
                        TrafficClass.BULK,
                        Envelope.newBuilder().setChunkRequest(request),
                        CHUNK_TIMEOUT)
                .thenApply(WireChunkTransport::toResponse);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> requestManifest(HostId peer, Digest digest) {
        Optional<String> address = addresses.apply(peer);
        if (address.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ManifestRequest request = ManifestRequest.newBuilder().setDigest(digest.value()).build();
        return client.request(
                        address.get(),
                        TrafficClass.BULK,
                        Envelope.newBuilder().setManifestRequest(request),
                        MANIFEST_TIMEOUT)
                .thenApply(
                        reply ->
                                reply.toJavaOptional()
                                        .map(e -> e.getManifestReply().getData())
                                        .filter(d -> !d.isEmpty())
                                        .map(ByteString::toByteArray));
    }

    @Override
    public void announceChunks(HostId peer, Digest digest, BitSet held, BitSet fetches) {
        ChunkAvailability availability =
                ChunkAvailability.newBuilder()
                        .setHost(self.value())
                        .setDigestPrefix(digest.shortText())
                        .setBitmap(ByteString.copyFrom(held.toByteArray()))
                        .setFetching(ByteString.copyFrom(fetches.toByteArray()))
                        .build();
        Envelope message = Envelope.newBuilder().setChunkAvailability(availability).build();
        addresses.apply(peer).ifPresent(a -> client.sendOneWay(a, TrafficClass.LIVE, message));
    }

    private static ChunkResponse toResponse(Either<Fault, Envelope> reply) {
        if (reply.isLeft() || !reply.get().hasChunkReply()) {
            return ChunkResponse.FAILED;
        }
        ChunkReply chunk = reply.get().getChunkReply();
        BitSet held = BitSet.valueOf(chunk.getBitmap().toByteArray());
        FetchResult result =
                switch (chunk.getStatus()) {
                    case OK -> FetchResult.VERIFIED;
                    case NOT_HELD -> FetchResult.NOT_HELD;
                    case BUSY -> FetchResult.BUSY;
                    default -> FetchResult.FAILED;
                };
        return new ChunkResponse(result, chunk.getData().toByteArray(), held);
    }
}
