package org.papayawalk.daemon.swarm;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.BitSet;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.weight.FetchResult;
import org.papayawalk.core.weight.LinkPacer;
import org.papayawalk.daemon.ControlThread;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.ChunkReply;
import org.papayawalk.wire.proto.ChunkRequest;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.ManifestReply;

/** Answers chunk and manifest requests of peers, and paces chunks on the uplink. Thread-safe. */
public final class ChunkServer {
    /** Backlog of the paced uplink above which chunk requests are answered as busy. */
    private static final Duration MAX_BACKLOG = Duration.ofMillis(300);

    private final Swarm swarm;

    private final LinkPacer uplink;

    private final InstantSource clock;

    private final ControlThread controlThread;

    /**
     * Creates a server.
     *
     * @param swarm provides manifests and chunks
     * @param bytesPerSecond uplink rate for chunks in bytes per second, above 0
     * @param clock clock
     * @param controlThread thread that sends the paced replies
     */
    public ChunkServer(
            Swarm swarm, double bytesPerSecond, InstantSource clock, ControlThread controlThread) {
        this.swarm = swarm;
        this.uplink = new LinkPacer(bytesPerSecond);
        this.clock = clock;
        this.controlThread = controlThread;
    }

    /**
     * Handles a chunk request or a manifest request.
     *
     * @param message message with the request
     * @param from connection to reply on
     */
    public void handle(Envelope message, PeerServerConnection from) {
        if (message.hasManifestRequest()) {
            Digest digest = new Digest(message.getManifestRequest().getDigest());
            swarm.manifest(
                    digest,
                    manifest -> {
                        ManifestReply.Builder reply = ManifestReply.newBuilder();
                        manifest.ifPresent(m -> reply.setData(ByteString.copyFrom(m.data())));
                        send(message, from, Envelope.newBuilder().setManifestReply(reply));
                    });
            return;
        }
        ChunkRequest r = message.getChunkRequest();
        ChunkQuery query =
                new ChunkQuery(
                        new HostId(r.getHost()),
                        new Digest(r.getDigest()),
                        r.getIndex(),
                        BitSet.valueOf(r.getBitmap().toByteArray()));
        swarm.handleQuery(query, response -> sendChunkReply(message, from, response));
    }

    // Sends the bytes when the paced uplink is free; replies without bytes are not delayed.
    private void sendChunkReply(
            Envelope message, PeerServerConnection from, ChunkResponse response) {
        Instant now = clock.instant();
        boolean congested = uplink.backlog(now).compareTo(MAX_BACKLOG) > 0;
        boolean busy = response.result() == FetchResult.VERIFIED && congested;
        ChunkReply.Status status =
                switch (busy ? FetchResult.BUSY : response.result()) {
                    case VERIFIED -> ChunkReply.Status.OK;
                    case BUSY -> ChunkReply.Status.BUSY;
                    default -> ChunkReply.Status.NOT_HELD;
                };
        ChunkReply.Builder reply =
                ChunkReply.newBuilder()
                        .setStatus(status)
                        .setBitmap(ByteString.copyFrom(response.heldChunks().toByteArray()));
        if (status != ChunkReply.Status.OK) {
            send(message, from, Envelope.newBuilder().setChunkReply(reply));
            return;
        }
        reply.setData(ByteString.copyFrom(response.data()));
        Duration delay = uplink.reserve(response.data().length, now);
        controlThread.schedule(
                delay, () -> send(message, from, Envelope.newBuilder().setChunkReply(reply)));
    }

    private static void send(Envelope request, PeerServerConnection from, Envelope.Builder reply) {
        from.send(reply.setCall(request.getCall()).build());
    }
}
