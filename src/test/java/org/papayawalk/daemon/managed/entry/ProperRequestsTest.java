package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.papayawalk.core.limit.HeaderLines;
import org.testng.annotations.Test;

/**
 * Proper requests on kept connections, in reads of any length, while the limits change and the
 * reader stops at times. None is malformed or too long, and all arrive as they were sent.
 */
public final class ProperRequestsTest {
    private static final int PLAYS = 400;

    private static final int REQUESTS = 30;

    /** Smallest limit on a head; no head is longer. */
    private static final int MIN_LIMIT = 3000;

    /** All requests arrive in order. */
    @Test
    public void requestsArriveAsSent() {
        for (int seed = 0; seed < PLAYS; seed++) {
            Play play = new Play(seed);
            play.run();
            assertEquals(play.failures, List.of(), "seed " + seed);
            assertEquals(play.received, play.sent, "seed " + seed);
            play.channel.finishAndReleaseAll();
        }
    }

    /** A head that fills the limit with its line ends is taken wherever the reads are split. */
    @Test
    public void headAtTheLimitIsTaken() {
        String start = "GET / HTTP/1.1\r\n";
        String line = "Host: shop.example\r\n";
        int limit = 200;
        String filler = "X-Fill: " + "f".repeat(limit - line.length() - 12) + "\r\n";
        String head = start + line + filler + "\r\n";
        for (int split = 1; split < head.length(); split++) {
            Play play = new Play(split);
            play.limit = limit;
            play.read(head.substring(0, split));
            play.read(head.substring(split));
            play.goOn();
            assertEquals(play.failures, List.of(), "split " + split);
            assertEquals(play.received, List.of("GET / "), "split " + split);
            play.channel.finishAndReleaseAll();
        }
    }

    /** Connection that is played by random numbers. */
    private static final class Play implements ReadTurns.Reader {
        private final Random random;

        private final List<String> sent = new ArrayList<>();

        private final List<String> received = new ArrayList<>();

        private final List<String> failures = new ArrayList<>();

        private final StringBuilder body = new StringBuilder();

        private final EmbeddedChannel channel = new EmbeddedChannel();

        private final ReadTurns turns;

        private int limit = MIN_LIMIT;

        private boolean decodes = true;

        private boolean stopsAtRandom;

        private HttpRequest head;

        Play(long seed) {
            random = new Random(seed);
            turns = new ReadTurns(new TurnQueue(channel.eventLoop()), this);
            ConnectionHeads heads = new ConnectionHeads(new HeaderLines(Integer.MAX_VALUE));
            channel.pipeline()
                    .addLast(turns)
                    .addLast(new CallerDecoder(() -> limit, heads))
                    .addLast(new Parts());
        }

        void run() {
            stopsAtRandom = true;
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < REQUESTS; i++) {
                all.writeBytes(request(i).getBytes(StandardCharsets.ISO_8859_1));
            }
            String text = all.toString(StandardCharsets.ISO_8859_1);
            int at = 0;
            while (at < text.length()) {
                int bound = random.nextInt(4) == 0 ? 20 : 9000;
                int end = Math.min(text.length(), at + 1 + random.nextInt(bound));
                read(text.substring(at, end));
                at = end;
                limit = MIN_LIMIT + 1000 * random.nextInt(4);
                if (random.nextInt(3) > 0) {
                    takeTurn();
                }
            }
            stopsAtRandom = false;
            goOn();
        }

        void goOn() {
            while (turns.isHolding()) {
                takeTurn();
            }
        }

        void read(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            ByteBuf buffer = channel.alloc().buffer(bytes.length).writeBytes(bytes);
            channel.writeInbound(buffer);
        }

        private void takeTurn() {
            decodes = true;
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            turns.resume();
        }

        private String request(int number) {
            StringBuilder lines = new StringBuilder("Host: shop.example\r\nX-Request-Id: r");
            lines.append(number).append("\r\nX-Prompt-Prefix: ");
            for (int i = random.nextInt(60); i >= 0; i--) {
                lines.append(Integer.toHexString(random.nextInt())).append(":800,");
            }
            for (int i = random.nextInt(20); i >= 0; i--) {
                lines.append("\r\nX-Other-").append(i).append(": ").append(random.nextInt());
            }
            int length = random.nextInt(3) == 0 ? random.nextInt(20_000) : random.nextInt(900);
            String content = "b".repeat(length);
            String target = "/lepu270/" + number + "?q=" + number;
            if (random.nextInt(4) == 0) {
                sent.add("GET " + target + " ");
                return "GET " + target + " HTTP/1.1\r\n" + lines + "\r\n\r\n";
            }
            sent.add("POST " + target + " " + content);
            String start = "POST " + target + " HTTP/1.1\r\n" + lines + "\r\n";
            return random.nextBoolean()
                    ? start + "Content-Length: " + length + "\r\n\r\n" + content
                    : start + "Transfer-Encoding: chunked\r\n\r\n" + chunks(length);
        }

        private String chunks(int length) {
            StringBuilder text = new StringBuilder();
            int left = length;
            while (left > 0) {
                int part = Math.min(left, 1 + random.nextInt(700));
                text.append(Integer.toHexString(part)).append("\r\n");
                text.append("b".repeat(part)).append("\r\n");
                left -= part;
            }
            return text.append("0\r\n\r\n").toString();
        }

        @Override
        public boolean mayDecode() {
            return decodes;
        }

        @Override
        public void bytesReceived() {
            // Not recorded.
        }

        @Override
        public void updateReading() {
            // The channel has no bytes of its own.
        }

        private final class Parts extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                turns.partDecoded();
                HttpObject part = (HttpObject) message;
                if (part.decoderResult().isFailure()) {
                    failures.add(String.valueOf(part.decoderResult().cause()));
                }
                if (part instanceof HttpRequest request) {
                    head = request;
                    body.setLength(0);
                }
                if (part instanceof HttpContent content) {
                    body.append(content.content().toString(StandardCharsets.ISO_8859_1));
                }
                if (part instanceof LastHttpContent && head != null) {
                    received.add(head.method() + " " + head.uri() + " " + body);
                    head = null;
                }
                ReferenceCountUtil.release(message);
                if (stopsAtRandom && random.nextInt(8) == 0) {
                    decodes = false;
                }
            }
        }
    }
}
