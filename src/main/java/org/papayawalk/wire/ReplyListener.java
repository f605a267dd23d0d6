package org.papayawalk.wire;

import org.papayawalk.core.Fault;
import org.papayawalk.wire.proto.Envelope;

/** Receives the replies to one call. Called on event loops, so implementations must not block. */
public interface ReplyListener {

    /**
     * Handles a reply.
     *
     * @param message reply
     */
    void onReply(Envelope message);

    /**
     * Handles the failure of the call. No further reply follows.
     *
     * @param fault {@code UNREACHABLE} if the call was never sent, else {@code UNKNOWN_OUTCOME}
     */
    void onFailure(Fault fault);
}
