package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes the bytes of a caller to the decoder in slices, and only while the connection may take
 * further requests. Bytes that decode to very many small parts wait for turns, so that no caller
 * uses up the event loop. Confined to the event loop thread.
 */
final class ReadTurns extends ChannelInboundHandlerAdapter {
    /** Bytes that are decoded before their cost is known. */
    private static final int FIRST_SLICE_BYTES = 4096;

    /** Decoded parts of a slice above which the next one waits for a turn. */
    private static final int MAX_PARTS = 64;

    /** Decoded parts of a slice up to which the next one may be longer. */
    private static final int FEW_PARTS = 4;

    private final TurnQueue turns;

    private final Reader reader;

    private ChannelHandlerContext context;

    /** Bytes that were received and not decoded yet; null if there are none. */
    private ByteBuf held;

    private int sliceBytes = FIRST_SLICE_BYTES;

    /** Parts decoded of the present slice. */
    private int parts;

    private boolean passing;

    private boolean waitsForTurn;

    /** Handler of the decoded parts. */
    interface Reader {
        /**
         * Returns whether further requests, or more of one, may be decoded.
         *
         * @return false while too many wait, or one waits for memory
         */
        boolean mayDecode();

        /** Handles that bytes were received. */
        void bytesReceived();

        /** Reads from the connection, or not, after {@link ReadTurns#isHolding()} has changed. */
        void updateReading();
    }

    /**
     * Creates a handler without bytes.
     *
     * @param turns turns of the connections that cost much time
     * @param reader handler of the decoded parts
     */
    ReadTurns(TurnQueue turns, Reader reader) {
        this.turns = turns;
        this.reader = reader;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ignored) {
        discard();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        discard();
        context.fireChannelInactive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        reader.bytesReceived();
        held = held == null ? bytes : Unpooled.wrappedBuffer(held, bytes);
        resume();
    }

    /**
     * Returns whether bytes wait to be decoded, so that no more should be read.
     *
     * @return false if all bytes were decoded
     */
    boolean isHolding() {
        return held != null;
    }

    /** Records that a part was decoded. */
    void partDecoded() {
        parts++;
    }

    /** Goes on decoding, as the connection may take further requests again. */
    void resume() {
        if (held == null || passing || waitsForTurn) {
            return;
        }
        passing = true;
        while (held != null && !waitsForTurn && reader.mayDecode()) {
            passSlice();
        }
        passing = false;
        reader.updateReading();
    }

    private void passSlice() {
        parts = 0;
        ByteBuf slice = held.readRetainedSlice(Math.min(sliceBytes, held.readableBytes()));
        if (!held.isReadable()) {
            discard();
        }
        context.fireChannelRead(slice);
        sliceBytes = parts <= FEW_PARTS ? 2 * Math.min(sliceBytes, 1 << 20) : FIRST_SLICE_BYTES;
        if (held != null && parts > MAX_PARTS) {
            waitsForTurn = true;
            turns.add(this::takeTurn);
        }
    }

    private void takeTurn() {
        waitsForTurn = false;
        resume();
    }

    private void discard() {
        if (held != null) {
            held.release();
            held = null;
        }
    }
}
