package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.papayawalk.core.call.AttemptParameters;
import org.papayawalk.platform.HeaderCodec;

/** Builds requests for upstreams. Stateless; confined to the event loop thread. */
final class UpstreamRequests {

    private UpstreamRequests() {}

    /**
     * Builds a request with the method, target and body of the caller's request.
     *
     * @param request request of the caller
     * @param parameters values that the entry sets in the headers of this attempt
     * @return request for the upstream
     */
    static FullHttpRequest build(CallerRequest request, AttemptParameters parameters) {
        HttpRequest head = request.head();
        FullHttpRequest copy =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        head.method(),
                        head.uri(),
                        request.body().retainedDuplicate());
        HeaderCodec.copyToUpstream(head.headers(), copy.headers(), parameters);
        boolean framed =
                HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (framed) {
            copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
        }
        return copy;
    }
}
