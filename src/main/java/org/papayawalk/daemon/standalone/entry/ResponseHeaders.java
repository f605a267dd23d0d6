package org.papayawalk.daemon.standalone.entry;

import java.util.ArrayList;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.wire.proto.Header;
import org.papayawalk.wire.proto.ResponseHead;

/** Builds the headers of responses from upstreams. */
final class ResponseHeaders {

    private ResponseHeaders() {}

    /**
     * Builds the headers of a response to a caller.
     *
     * @param candidate agent whose upstream responded
     * @param head status and headers of the upstream's response
     * @return headers of the upstream, followed by the name of the host
     */
    static List<HttpHeader> of(RouteCandidate candidate, ResponseHead head) {
        List<HttpHeader> headers = new ArrayList<>();
        for (Header h : head.getHeadersList()) {
            headers.add(new HttpHeader(h.getName(), h.getValue()));
        }
        headers.add(new HttpHeader(CallerHeaders.HOST, candidate.host().value()));
        return headers;
    }
}
