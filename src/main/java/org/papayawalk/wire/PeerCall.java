package org.papayawalk.wire;

import org.papayawalk.wire.proto.CancelRequest;
import org.papayawalk.wire.proto.Envelope;

/** Call with several replies. Thread-safe. */
public final class PeerCall {
    /** Connection of the call, or null if none could be opened. */
    private final PeerClientConnection connection;

    /** Number of the call. */
    private final long number;

    /**
     * Creates a call.
     *
     * @param connection connection of the call, or null
     * @param number number of the call
     */
    PeerCall(PeerClientConnection connection, long number) {
        this.connection = connection;
        this.number = number;
    }

    /** Drops the listener of the call. */
    public void end() {
        if (connection != null) {
            connection.forget(number);
        }
    }

    /** Drops the listener and tells the peer to stop. */
    public void cancel() {
        if (connection == null) {
            return;
        }
        connection.forget(number);
        connection.send(
                Envelope.newBuilder()
                        .setCall(number)
                        .setCancelRequest(CancelRequest.getDefaultInstance())
                        .build());
    }
}
