package org.papayawalk.daemon.entry;

import java.util.List;
import org.papayawalk.adapter.HttpHeader;

/** Answer to a caller. Implementations are immutable. */
sealed interface CallerAnswer {

    /**
     * Whole answer of an upstream.
     *
     * @param status HTTP status
     * @param headers headers
     * @param body body
     */
    record Whole(int status, List<HttpHeader> headers, byte[] body) implements CallerAnswer {}

    /**
     * Final answer without one of an upstream.
     *
     * @param refusal what the caller is told
     */
    record Refused(Refusal refusal) implements CallerAnswer {}

    /**
     * Start of a streamed answer, which the call goes on to deliver.
     *
     * @param status HTTP status
     * @param headers headers
     * @param call call to take the events from
     */
    record Streaming(int status, List<HttpHeader> headers, PlainCall call)
            implements CallerAnswer {}
}
