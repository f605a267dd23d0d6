package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Whole answer of an upstream. Immutable by agreement: the bytes are not changed.
 *
 * @param head status and headers
 * @param body bytes of the body
 */
record BufferedResponse(HttpResponse head, byte[] body) {
    /** Lowest status of a server's failure. */
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /**
     * Tells whether the upstream failed.
     *
     * @return true for a status from 500
     */
    boolean isServerError() {
        return head.status().code() >= MIN_SERVER_ERROR_STATUS;
    }

    /**
     * Tells whether callers take the status as a promise that the request did not run. An answer
     * that makes the promise without stating it is not passed on.
     *
     * @return true for 408, 429 and 503
     */
    boolean impliesNotRun() {
        int status = head.status().code();
        return status == 408 || status == 429 || status == 503;
    }
}
