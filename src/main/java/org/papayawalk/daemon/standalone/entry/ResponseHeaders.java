package org.papayawalk.daemon.standalone.entry;

import java.util.ArrayList;
import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;
import org.papayawalk.core.api.CallerHeaders;
import org.papayawalk.core.route.RouteCandidate;
import org.papayawalk.wire.proto.Header;
import org.papayawalk.wire.proto.ResponseHead;

/** Builds the headers of answers. Holds no state; safe from any thread. */
final class ResponseHeaders {

    /** Prevents instances. */
    private ResponseHeaders() {}

    /**
     * Builds the headers of an answer.
     *
     * @param candidate agent
     * @param head head of the upstream's answer
     * @return headers for the caller
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
