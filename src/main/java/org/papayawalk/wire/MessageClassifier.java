package org.papayawalk.wire;

import org.papayawalk.wire.proto.Envelope;

/** Tells messages of control from those that carry requests or weights. Holds no state. */
final class MessageClassifier {

    /** Prevents instances. */
    private MessageClassifier() {}

    /**
     * Tells whether a message is one of control.
     *
     * @param message message
     * @return false for requests, answers and chunks
     */
    static boolean isControl(Envelope message) {
        return switch (message.getBodyCase()) {
            case UPSTREAM_REQUEST,
                    RESPONSE_HEAD,
                    RESPONSE_DATA,
                    RESPONSE_END,
                    CANCEL_REQUEST,
                    CHUNK_REPLY,
                    MANIFEST_REPLY ->
                    false;
            default -> true;
        };
    }
}
