package org.papayawalk.daemon.standalone.entry;

import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;

/** Response to a caller. Implementations are immutable. */
sealed interface CallerResponse {

    /**
     * Complete response of an upstream.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body body, possibly empty
     */
    record Complete(int status, List<HttpHeader> headers, byte[] body) implements CallerResponse {}

    /**
     * Error response instead of a response of an upstream.
     *
     * @param error status, outcome and reason for the caller
     */
    record Failed(ErrorResponse error) implements CallerResponse {}

    /**
     * Head of a streamed response, whose events the call delivers.
     *
     * @param status HTTP status
     * @param headers headers
     * @param call call that delivers the events
     */
    record Streaming(int status, List<HttpHeader> headers, ProxiedCall call)
            implements CallerResponse {}
}
