package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.stream.BodyEnd;

/** Properties of {@link UpstreamConnection}: what counts as the end of a body. */
final class UpstreamConnectionEndProperties {
    /** How a connection ends. */
    enum Ending {
        /** The peer closes it. */
        PEER_CLOSES,
        /** The peer resets it. */
        PEER_RESETS,
        /** This side closes it. */
        CLOSED_HERE
    }

    /**
     * A response completes once its framing says so, and without framing only when the peer closes.
     * Chunks in HTTP/1.0 are faulty framing (RFC 9112, section 6.1).
     *
     * @param framing framing that tells the end
     * @param version minor version of HTTP
     * @param bodyBytes length of the body
     * @param missing number of bytes that are not sent, of body and framing
     * @param bufferBytes size of the buffers in which the response arrives
     * @param ending how the connection ends
     */
    @Property(tries = 3000, seed = "7441")
    void bodyEndsByItsFramingOrByItsPeer(
            @ForAll BodyEnd framing,
            @ForAll @IntRange(max = 1) int version,
            @ForAll @IntRange(max = 40) int bodyBytes,
            @ForAll @IntRange(max = 50) int missing,
            @ForAll @IntRange(min = 1, max = 20) int bufferBytes,
            @ForAll Ending ending) {
        byte[] body = body(framing, "x".repeat(bodyBytes));
        int cut = Math.min(missing, body.length);
        byte[] sent = Arrays.copyOf(body, body.length - cut);
        Recorder recorder = new Recorder();
        EmbeddedChannel channel = open(recorder);
        channel.writeInbound(Unpooled.copiedBuffer(head(framing, version, bodyBytes)));
        for (int from = 0; from < sent.length && channel.isOpen(); from += bufferBytes) {
            int to = Math.min(sent.length, from + bufferBytes);
            channel.writeInbound(Unpooled.copiedBuffer(sent, from, to - from));
        }
        end(channel, ending);

        boolean peerCloses = ending == Ending.PEER_CLOSES;
        boolean faulty = framing == BodyEnd.LAST_CHUNK && version == 0;
        boolean whole = !faulty && (framing == BodyEnd.CONNECTION ? peerCloses : cut == 0);
        assert recorder.failed != whole : "failed: " + recorder.failed;
        assert recorder.end.equals(whole ? Optional.of(framing) : Optional.empty());
    }

    /** A head that stops at any byte, however its connection ends, is never a response. */
    @Property(tries = 1)
    void cutHeadIsNoResponse() {
        for (BodyEnd framing : List.of(BodyEnd.LENGTH, BodyEnd.LAST_CHUNK, BodyEnd.CONNECTION)) {
            for (int version = 0; version <= 1; version++) {
                byte[] head = head(framing, version, 0);
                for (int cut = 0; cut < head.length; cut++) {
                    for (Ending ending : Ending.values()) {
                        Recorder recorder = new Recorder();
                        EmbeddedChannel channel = open(recorder);
                        channel.writeInbound(Unpooled.copiedBuffer(head, 0, cut));
                        end(channel, ending);
                        assert recorder.failed && recorder.end.isEmpty() : framing + ", cut " + cut;
                    }
                }
            }
        }
    }

    /** A local close never completes a body that has neither a length nor chunks. */
    @Property(tries = 1)
    void localCloseCompletesNothing() {
        bodyEndsByItsFramingOrByItsPeer(BodyEnd.CONNECTION, 1, 5, 0, 5, Ending.CLOSED_HERE);
    }

    private static EmbeddedChannel open(Recorder recorder) {
        UpstreamConnection connection = new UpstreamConnection(() -> Instant.EPOCH, c -> {});
        EmbeddedChannel channel = new EmbeddedChannel(connection.decoder(), connection);
        connection.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"),
                "r1",
                recorder);
        return channel;
    }

    private static void end(EmbeddedChannel channel, Ending ending) {
        if (!channel.isOpen()) {
            return;
        }
        switch (ending) {
            case PEER_RESETS ->
                    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
            case CLOSED_HERE -> channel.close();
            default -> channel.unsafe().close(channel.voidPromise());
        }
        channel.runPendingTasks();
    }

    private static byte[] head(BodyEnd framing, int version, int bodyBytes) {
        String line =
                switch (framing) {
                    case LENGTH -> "Content-Length: " + bodyBytes + "\r\n";
                    case LAST_CHUNK -> "Transfer-Encoding: chunked\r\n";
                    default -> "";
                };
        return bytes("HTTP/1." + version + " 200 OK\r\nX-Request-Id: r1\r\n" + line + "\r\n");
    }

    private static byte[] body(BodyEnd framing, String text) {
        if (framing != BodyEnd.LAST_CHUNK) {
            return bytes(text);
        }
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        return bytes((text.isEmpty() ? "" : chunk) + "0\r\n\r\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Records how a response ends. Not thread-safe. */
    private static final class Recorder implements UpstreamListener {
        private Optional<BodyEnd> end = Optional.empty();

        private boolean failed;

        @Override
        public void onSent() {
            // Every request is sent here.
        }

        @Override
        public void onHead(HttpResponse response, ResponseMetadata metadata) {
            // Only the end counts.
        }

        @Override
        public void onData(ByteBuf data) {
            // Only the end counts.
        }

        @Override
        public void onComplete(BodyEnd bodyEnd) {
            assert end.isEmpty() && !failed : "ended twice";
            end = Optional.of(bodyEnd);
        }

        @Override
        public void onFailure(String reason, boolean connected) {
            assert end.isEmpty() && !failed : "ended twice";
            failed = true;
        }
    }
}
