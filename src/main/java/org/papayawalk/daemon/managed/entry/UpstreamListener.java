package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.papayawalk.core.call.ReplyFacts;

/**
 * Takes what happens to one request at an upstream. After {@link #onComplete()} or {@link
 * #onFailure} nothing more comes. Called on the traffic thread.
 */
interface UpstreamListener {

    /** Learns that the request was written, so that it may run from now on. */
    void onSent();

    /**
     * Takes the head of the answer.
     *
     * @param response status and headers
     * @param facts what the upstream states
     */
    void onHead(HttpResponse response, ReplyFacts facts);

    /**
     * Takes a part of the body.
     *
     * @param data bytes; not kept beyond the call
     */
    void onData(ByteBuf data);

    /** Learns that the answer is complete. */
    void onComplete();

    /**
     * Learns that no complete answer will come.
     *
     * @param reason what happened
     * @param connected whether a connection was open, so that the request may have run
     */
    void onFailure(String reason, boolean connected);
}
