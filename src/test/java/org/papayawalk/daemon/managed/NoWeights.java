package org.papayawalk.daemon.managed;

import org.papayawalk.wire.MessageHandler;
import org.papayawalk.wire.PeerServerConnection;
import org.papayawalk.wire.proto.Envelope;

/** Handler of a daemon that takes no part in the distribution of weights. Thread-safe. */
final class NoWeights implements MessageHandler {
    @Override
    public void onMessage(Envelope message, PeerServerConnection from) {
        // The tests with this handler send no messages about weights.
    }

    @Override
    public void onClose(PeerServerConnection from) {
        // Nothing is kept for a connection.
    }
}
