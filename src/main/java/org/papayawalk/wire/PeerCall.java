package org.papayawalk.wire;

import org.papayawalk.wire.proto.CancelRequest;
import org.papayawalk.wire.proto.Envelope;

/** Call with several replies. Thread-safe. */
public final class PeerCall {
    /** Connection of the call, or null if none could be opened. */
    private final PeerClientConnection connection;

    /** Number of the call. */
    private final long callNumber;

    /**
     * Creates a call.
     *
     * @param connection connection of the call, or null
     * @param number number of the call
     */
    PeerCall(PeerClientConnection connection, long number) {
        this.connection = connection;
        this.callNumber = number;
    }

    /** Drops the listener of the call. */
    public void removeListener() {
        if (connection != null) {
            connection.removeListener(callNumber);
        }
    }

    /** Drops the listener and tells the peer to stop. */
    public void cancel() {
        if (connection == null) {
            return;
        }
        connection.removeListener(callNumber);
        connection.send(
                Envelope.newBuilder()
                        .setCall(callNumber)
                        .setCancelRequest(CancelRequest.getDefaultInstance())
                        .build());
    }
}
