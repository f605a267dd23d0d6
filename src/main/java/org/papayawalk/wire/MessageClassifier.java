package org.papayawalk.wire;

import org.papayawalk.wire.proto.Envelope;

/** Distinguishes control messages from those that carry requests or weights. Stateless. */
final class MessageClassifier {

    private MessageClassifier() {}

    /**
     * Tells whether a message is a control message.
     *
     * @param message message
     * @return false for requests, their responses and cancellations, chunks and manifests
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
