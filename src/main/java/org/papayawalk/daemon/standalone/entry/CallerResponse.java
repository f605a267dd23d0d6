package org.papayawalk.daemon.standalone.entry;

import java.util.List;
import org.papayawalk.adapter.standalone.HttpHeader;

/** Answer to a caller. Implementations are immutable. */
sealed interface CallerResponse {

    /**
     * Whole answer of an upstream.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body body
     */
    record Complete(int status, List<HttpHeader> headers, byte[] body) implements CallerResponse {}

    /**
     * Final answer without one of an upstream.
     *
     * @param refusal what the caller is told
     */
    record Failed(ErrorResponse refusal) implements CallerResponse {}

    /**
     * Start of a streamed answer, which the call goes on to deliver.
     *
     * @param status HTTP status
     * @param headers headers
     * @param call call to take the events from
     */
    record Streaming(int status, List<HttpHeader> headers, ProxiedCall call)
            implements CallerResponse {}
}
