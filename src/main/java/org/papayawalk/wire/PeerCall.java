package org.papayawalk.wire;

import org.papayawalk.wire.proto.CancelRequest;
import org.papayawalk.wire.proto.Envelope;

/** Call in progress that may have several replies. Thread-safe. */
public final class PeerCall {
    /** Connection of the call, null if none could be opened. */
    private final PeerClientConnection connection;

    private final long callNumber;

    /**
     * Creates a call.
     *
     * @param connection connection of the call, null if none could be opened
     * @param callNumber number of the call, unique on its connection
     */
    PeerCall(PeerClientConnection connection, long callNumber) {
        this.connection = connection;
        this.callNumber = callNumber;
    }

    /** Removes the listener, so that further replies are ignored. The peer is not notified. */
    public void removeListener() {
        if (connection != null) {
            connection.removeListener(callNumber);
        }
    }

    /** Removes the listener and sends a cancel request to the peer. */
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
