package org.papayawalk.daemon.managed.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Passes bytes that cost little and much, to a reader that stops and goes on at any time. */
public final class ReadTurnsTest {
    private static final int PLAYS = 300;

    private static final int MAX_READ_BYTES = 70_000;

    /** All bytes arrive in order, whatever they cost and whenever the reader stops. */
    @Test
    public void bytesArriveInOrder() {
        for (int seed = 0; seed < PLAYS; seed++) {
            Play play = new Play(seed);
            play.run();
            assertEquals(play.received.toByteArray(), play.sent.toByteArray(), "seed " + seed);
            play.close();
        }
    }

    /** Nothing is passed while the reader has stopped. */
    @Test
    public void stoppedReaderGetsNothing() {
        Play play = new Play(1);
        play.decodes = false;
        play.write(10);
        assertEquals(play.received.size(), 0);
        assertTrue(play.turns.isHolding());
        play.decodes = true;
        play.turns.resume();
        assertEquals(play.received.size(), 10);
        assertFalse(play.turns.isHolding());
        play.close();
    }

    /** Bytes that decode to many parts wait for a turn after each slice. */
    @Test
    public void costlyBytesTakeTurns() {
        Play play = new Play(1);
        play.partsOfSlice = 1000;
        play.write(3 * 4096);
        assertEquals(play.received.size(), 4096);
        play.takeTurn();
        assertEquals(play.received.size(), 2 * 4096);
        play.takeTurn();
        assertEquals(play.received.size(), 3 * 4096);
        play.close();
    }

    /** Bytes that are held when the connection closes are freed. */
    @Test
    public void heldBytesAreFreed() {
        Play play = new Play(1);
        play.decodes = false;
        ByteBuf bytes = Unpooled.buffer().writeZero(10);
        play.channel.writeInbound(bytes);
        play.close();
        assertEquals(bytes.refCnt(), 0);
        assertFalse(play.turns.isHolding());
    }

    /** Connection with a reader that is played by random numbers. */
    private static final class Play implements ReadTurns.Reader {
        private final Random random;

        private final ByteArrayOutputStream sent = new ByteArrayOutputStream();

        private final ByteArrayOutputStream received = new ByteArrayOutputStream();

        private final EmbeddedChannel channel = new EmbeddedChannel();

        private final ReadTurns turns;

        private boolean decodes = true;

        private int partsOfSlice = 1;

        private boolean stopsAtRandom;

        Play(long seed) {
            random = new Random(seed);
            turns = new ReadTurns(new TurnQueue(channel.eventLoop()), this);
            channel.pipeline().addLast(turns).addLast(new Decoder());
        }

        void run() {
            stopsAtRandom = true;
            for (int i = 0; i < 20; i++) {
                partsOfSlice = random.nextInt(3) == 0 ? 1000 : random.nextInt(6);
                decodes = random.nextInt(3) > 0;
                if (!turns.isHolding() || random.nextInt(4) == 0) {
                    write(1 + random.nextInt(MAX_READ_BYTES));
                }
                takeTurn();
            }
            while (turns.isHolding()) {
                decodes = true;
                takeTurn();
            }
        }

        void write(int length) {
            byte[] bytes = new byte[length];
            random.nextBytes(bytes);
            sent.writeBytes(bytes);
            channel.writeInbound(Unpooled.wrappedBuffer(bytes));
        }

        void takeTurn() {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
            turns.resume();
        }

        void close() {
            channel.finishAndReleaseAll();
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

        private final class Decoder extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                byte[] copy = new byte[bytes.readableBytes()];
                bytes.readBytes(copy);
                bytes.release();
                received.writeBytes(copy);
                for (int i = 0; i < partsOfSlice; i++) {
                    turns.partDecoded();
                }
                if (stopsAtRandom && random.nextInt(8) == 0) {
                    decodes = false;
                }
            }
        }
    }
}
