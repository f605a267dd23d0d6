package org.papayawalk.wire;

import org.papayawalk.wire.proto.Envelope;

/**
 * Receives the messages that other processes send over accepted connections. Called on event loops,
 * so implementations must not block.
 */
public interface MessageHandler {

    /**
     * Handles a message.
     *
     * @param message message received
     * @param from connection on which to reply
     */
    void onMessage(Envelope message, PeerServerConnection from);

    /**
     * Handles the close of an accepted connection.
     *
     * @param from connection that was closed
     */
    void onClose(PeerServerConnection from);
}
