package org.papayawalk.daemon.agent;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.papayawalk.core.Fault;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.member.Member;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.daemon.node.Node;
import org.papayawalk.wire.Lane;
import org.papayawalk.wire.proto.ChunkAvailability;
import org.papayawalk.wire.proto.ChunkReply;
import org.papayawalk.wire.proto.ChunkRequest;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ManifestRequest;

/** Messages about chunks over the connections of a node. Thread-safe. */
public final class WireChunkTransport implements ChunkTransport {
    /** Longest wait for a chunk. */
    private static final Duration CHUNK_LIMIT = Duration.ofSeconds(5);

    /** Longest wait for a manifest. */
    private static final Duration MANIFEST_LIMIT = Duration.ofSeconds(2);

    /** Node whose connections are used. */
    private final Node node;

    /**
     * Creates a transport.
     *
     * @param node node whose connections are used
     */
    public WireChunkTransport(Node node) {
        this.node = node;
    }

    @Override
    public CompletableFuture<ChunkAnswer> request(
            HostId peer, Digest digest, int index, BitSet held) {
        Optional<Member> member = node.member(peer);
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(ChunkAnswer.FAILED);
        }
        ChunkRequest request =
                ChunkRequest.newBuilder()
                        .setHost(node.self().host().value())
                        .setDigest(digest.value())
                        .setIndex(index)
                        .setBitmap(ByteString.copyFrom(held.toByteArray()))
                        .build();
        return node.client()
                .request(
                        member.get().record().address(),
                        Lane.BULK,
                        Envelope.newBuilder().setChunkRequest(request),
                        CHUNK_LIMIT)
                .thenApply(WireChunkTransport::answer);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> manifest(HostId peer, Digest digest) {
        Optional<Member> member = node.member(peer);
        if (member.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ManifestRequest request = ManifestRequest.newBuilder().setDigest(digest.value()).build();
        return node.client()
                .request(
                        member.get().record().address(),
                        Lane.BULK,
                        Envelope.newBuilder().setManifestRequest(request),
                        MANIFEST_LIMIT)
                .thenApply(
                        reply ->
                                reply.toJavaOptional()
                                        .map(e -> e.getManifestReply().getData())
                                        .filter(d -> !d.isEmpty())
                                        .map(ByteString::toByteArray));
    }

    @Override
    public void offer(HostId peer, Digest digest, BitSet held) {
        ChunkAvailability availability =
                ChunkAvailability.newBuilder()
                        .setHost(node.self().host().value())
                        .setDigestPrefix(digest.shortText())
                        .setBitmap(ByteString.copyFrom(held.toByteArray()))
                        .build();
        Envelope message = Envelope.newBuilder().setChunkAvailability(availability).build();
        node.member(peer)
                .ifPresent(m -> node.client().tell(m.record().address(), Lane.LIVE, message));
    }

    /**
     * Reads a reply.
     *
     * @param reply reply or fault
     * @return the answer
     */
    private static ChunkAnswer answer(Either<Fault, Envelope> reply) {
        if (reply.isLeft() || !reply.get().hasChunkReply()) {
            return ChunkAnswer.FAILED;
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
        return new ChunkAnswer(result, chunk.getData().toByteArray(), held);
    }
}
