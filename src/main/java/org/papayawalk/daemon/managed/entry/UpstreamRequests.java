package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.platform.HeaderCodec;

/** Builds requests for upstreams. Holds no state; confined to the traffic thread. */
final class UpstreamRequests {

    /** Prevents instances. */
    private UpstreamRequests() {}

    /**
     * Builds a request.
     *
     * @param request request of the caller
     * @param order what the system decided about the sending
     * @return request with the caller's method, target and body
     */
    static FullHttpRequest build(CallerRequest request, AttemptParameters order) {
        HttpRequest head = request.head();
        FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        head.method(),
                        head.uri(),
                        request.body().retainedDuplicate());
        HeaderCodec.copyToUpstream(head.headers(), copy.headers(), order);
        boolean framed =
                HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (framed) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        return copy;
    }
}
