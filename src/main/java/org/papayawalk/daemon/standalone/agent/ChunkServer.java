package org.papayawalk.daemon.standalone.agent;

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

/** Answers peers' requests for chunks and manifests, at the pace of the uplink. Thread-safe. */
public final class ChunkServer {
    /** Time that sends may be queued on the uplink before further requests are put off. */
    private static final Duration MAX_BACKLOG = Duration.ofMillis(300);

    /** Chunks held. */
    private final Swarm swarm;

    /** Share of the link for sending. */
    private final LinkPacer uplink;

    /** Clock. */
    private final InstantSource clock;

    /** Runs delayed answers. */
    private final ControlThread thread;

    /**
     * Creates a server.
     *
     * @param swarm chunks held
     * @param bytesPerSecond share of the link for sending
     * @param clock clock
     * @param thread runs delayed answers
     */
    public ChunkServer(
            Swarm swarm, double bytesPerSecond, InstantSource clock, ControlThread thread) {
        this.swarm = swarm;
        this.uplink = new LinkPacer(bytesPerSecond);
        this.clock = clock;
        this.thread = thread;
    }

    /**
     * Answers a request.
     *
     * @param message request
     * @param from connection to answer on
     */
    public void received(Envelope message, PeerServerConnection from) {
        if (message.hasManifestRequest()) {
            Digest digest = new Digest(message.getManifestRequest().getDigest());
            swarm.manifest(
                    digest,
                    m -> {
                        ManifestReply.Builder reply = ManifestReply.newBuilder();
                        m.ifPresent(k -> reply.setData(ByteString.copyFrom(k.data())));
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
        swarm.requested(query, answer -> reply(message, from, answer));
    }

    /**
     * Sends the answer to a request for a chunk.
     *
     * @param message request
     * @param from connection to answer on
     * @param answer answer
     */
    private void reply(Envelope message, PeerServerConnection from, ChunkResponse answer) {
        Instant now = clock.instant();
        boolean full = uplink.backlog(now).compareTo(MAX_BACKLOG) > 0;
        boolean busy = answer.result() == FetchResult.VERIFIED && full;
        ChunkReply.Status status =
                switch (busy ? FetchResult.BUSY : answer.result()) {
                    case VERIFIED -> ChunkReply.Status.OK;
                    case BUSY -> ChunkReply.Status.BUSY;
                    default -> ChunkReply.Status.NOT_HELD;
                };
        ChunkReply.Builder reply =
                ChunkReply.newBuilder()
                        .setStatus(status)
                        .setBitmap(ByteString.copyFrom(answer.held().toByteArray()));
        if (status != ChunkReply.Status.OK) {
            send(message, from, Envelope.newBuilder().setChunkReply(reply));
            return;
        }
        reply.setData(ByteString.copyFrom(answer.data()));
        Duration delay = uplink.reserve(answer.data().length, now);
        thread.later(delay, () -> send(message, from, Envelope.newBuilder().setChunkReply(reply)));
    }

    /**
     * Sends a reply.
     *
     * @param request message to reply to
     * @param from connection to answer on
     * @param reply reply without its call number
     */
    private static void send(Envelope request, PeerServerConnection from, Envelope.Builder reply) {
        from.send(reply.setCall(request.getCall()).build());
    }
}
