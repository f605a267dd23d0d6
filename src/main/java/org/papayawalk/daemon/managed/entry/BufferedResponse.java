package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Complete response of an upstream. Immutable by convention: callers do not modify the bytes.
 *
 * @param head status and headers
 * @param body body without transfer encoding
 */
record BufferedResponse(HttpResponse head, byte[] body) {
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    /**
     * Returns whether the upstream reports a server error.
     *
     * @return true for a status of 500 or more
     */
    boolean isServerError() {
        return head.status().code() >= MIN_SERVER_ERROR_STATUS;
    }

    /**
     * Returns whether the upstream has served the request.
     *
     * @return true for a status of class 2xx
     */
    boolean isSuccess() {
        return head.status().codeClass() == HttpStatusClass.SUCCESS;
    }

    /**
     * Returns whether callers take the status to mean that the request did not run. A response with
     * such a status is not forwarded if the upstream does not state explicitly that the request did
     * not run, because the request may have run.
     *
     * @return true for 408, 429 and 503
     */
    boolean impliesNotRun() {
        int status = head.status().code();
        return status == 408 || status == 429 || status == 503;
    }
}
