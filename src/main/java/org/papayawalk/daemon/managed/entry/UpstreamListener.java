package org.papayawalk.daemon.managed.entry;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.papayawalk.core.call.ResponseMetadata;
import org.papayawalk.core.stream.BodyEnd;

/**
 * Receives the events of one request at an upstream. {@link #onComplete} or {@link #onFailure} is
 * the last event. Called on the event loop thread.
 */
interface UpstreamListener {

    /** Called when the request starts to be written. From then on it may run. */
    void onSent();

    /**
     * Called when the head of the response is received.
     *
     * @param response status and headers
     * @param metadata metadata stated by the upstream
     */
    void onHead(HttpResponse response, ResponseMetadata metadata);

    /**
     * Called when part of the body is received.
     *
     * @param data bytes, valid only during the call
     */
    void onData(ByteBuf data);

    /**
     * Called when the body has ended.
     *
     * @param end what told its end
     */
    void onComplete(BodyEnd end);

    /**
     * Called when no complete response will be received.
     *
     * @param reason what happened, for the log
     * @param connected whether the connection was open, so that the request may have run
     */
    void onFailure(String reason, boolean connected);
}
