package org.papayawalk.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.papayawalk.core.Fault;
import org.papayawalk.core.FaultKind;
import org.papayawalk.wire.proto.Envelope;
import org.papayawalk.wire.proto.StatusQuery;
import org.testng.annotations.Test;

/** Tests {@link PeerClientConnection}. */
public final class PeerClientConnectionTest {
    /** Losses that the listener heard of. */
    private final List<Fault> losses = new ArrayList<>();

    /** An unused connection closes, so that their number stays bounded. */
    @Test
    public void closesWhenIdle() {
        EmbeddedChannel channel = new EmbeddedChannel(connection());
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_ALL_IDLE_STATE_EVENT);
        assertFalse(channel.isOpen());
    }

    /** A connection with an open call stays although it is silent. */
    @Test
    public void staysOpenForItsCall() {
        PeerClientConnection connection = connection();
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        connection.call(query(), listener());
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_ALL_IDLE_STATE_EVENT);
        assertTrue(channel.isOpen());
    }

    /** Every open call hears once of the loss of its connection, as of unknown outcome. */
    @Test
    public void tellsOpenCallsOfTheLoss() {
        losses.clear();
        PeerClientConnection connection = connection();
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        connection.call(query(), listener());
        channel.close();
        assertEquals(losses.size(), 1);
        assertEquals(losses.get(0).kind(), FaultKind.UNKNOWN_OUTCOME);
    }

    /**
     * Creates a connection.
     *
     * @return connection
     */
    private static PeerClientConnection connection() {
        return new PeerClientConnection("127.0.0.1:1", new AtomicLong());
    }

    /**
     * Creates a message.
     *
     * @return message
     */
    private static Envelope.Builder query() {
        return Envelope.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
    }

    /**
     * Creates a listener that notes losses.
     *
     * @return listener
     */
    private ReplyListener listener() {
        return new ReplyListener() {
            @Override
            public void onReply(Envelope message) {
                throw new AssertionError("no reply was sent");
            }

            @Override
            public void onFailure(Fault fault) {
                losses.add(fault);
            }
        };
    }
}
