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
    /** Faults that the listener received. */
    private final List<Fault> faults = new ArrayList<>();

    /** An idle connection closes, which bounds the number of open connections. */
    @Test
    public void closesWhenIdle() {
        EmbeddedChannel channel = new EmbeddedChannel(newConnection());
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_ALL_IDLE_STATE_EVENT);
        assertFalse(channel.isOpen());
    }

    /** An idle connection with a call in progress stays open. */
    @Test
    public void staysOpenDuringCall() {
        PeerClientConnection connection = newConnection();
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        connection.call(query(), listener());
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_ALL_IDLE_STATE_EVENT);
        assertTrue(channel.isOpen());
    }

    /** Losing the connection fails each call in progress exactly once, with unknown outcome. */
    @Test
    public void failsCallsInProgressWhenClosed() {
        faults.clear();
        PeerClientConnection connection = newConnection();
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        connection.call(query(), listener());
        channel.close();
        assertEquals(faults.size(), 1);
        assertEquals(faults.get(0).kind(), FaultKind.UNKNOWN_OUTCOME);
    }

    /** A reply sent once more, late, does not pass for that to the next call. */
    @Test
    public void repliesGoToTheirOwnCall() {
        List<Envelope> first = new ArrayList<>();
        List<Envelope> second = new ArrayList<>();
        PeerClientConnection connection = newConnection();
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        long firstCall = connection.call(query(), recorder(first));
        Envelope reply = Envelope.newBuilder().setCall(firstCall).build();
        channel.writeInbound(reply);
        connection.removeListener(firstCall);
        long secondCall = connection.call(query(), recorder(second));
        Envelope own = Envelope.newBuilder().setCall(secondCall).build();
        channel.writeInbound(reply, own);
        assertEquals(first, List.of(reply));
        assertEquals(second, List.of(own));
    }

    private static ReplyListener recorder(List<Envelope> replies) {
        return new ReplyListener() {
            @Override
            public void onReply(Envelope message) {
                replies.add(message);
            }

            @Override
            public void onFailure(Fault fault) {
                throw new AssertionError(fault.toString());
            }
        };
    }

    private static PeerClientConnection newConnection() {
        return new PeerClientConnection("127.0.0.1:1", new AtomicLong());
    }

    private static Envelope.Builder query() {
        return Envelope.newBuilder().setStatusQuery(StatusQuery.getDefaultInstance());
    }

    private ReplyListener listener() {
        return new ReplyListener() {
            @Override
            public void onReply(Envelope message) {
                throw new AssertionError("no reply was sent");
            }

            @Override
            public void onFailure(Fault fault) {
                faults.add(fault);
            }
        };
    }
}
