package org.papayawalk.wire;

import org.papayawalk.core.Fault;
import org.papayawalk.wire.proto.Envelope;

/** Takes the replies to one call. Called on event loops, so it must not block. */
public interface ReplyListener {

    /**
     * Takes a reply.
     *
     * @param message reply
     */
    void onReply(Envelope message);

    /**
     * Learns that no further reply will come.
     *
     * @param fault {@code UNREACHABLE} if the call was never sent, else {@code UNKNOWN_OUTCOME}
     */
    void onFailure(Fault fault);
}
