package org.papayawalk.wire;

import org.papayawalk.wire.proto.Envelope;

/**
 * Takes the messages that other processes send to this one. Called on event loops, so it must not
 * block.
 */
public interface MessageHandler {

    /**
     * Takes a message.
     *
     * @param message message received
     * @param from connection to answer on
     */
    void onMessage(Envelope message, PeerServerConnection from);

    /**
     * Learns that a connection was closed.
     *
     * @param from the connection
     */
    void onClose(PeerServerConnection from);
}
