package org.papayawalk.daemon.managed.entry;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.papayawalk.core.call.ResponseMetadata;

/**
 * Decides whether an answer states that its upstream did not run the request and will not run it.
 * Stateless; thread-safe.
 */
final class RefusalRule {
    private RefusalRule() {}

    /**
     * Returns whether an upstream states that it is not the one addressed.
     *
     * @param status status of the answer
     * @return true for 421
     */
    static boolean isMisdirected(int status) {
        return status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    }

    /**
     * Returns whether an upstream states that it did not run the request. An answer with the status
     * of a success or a redirection states that it did, whatever its headers say.
     *
     * @param status status of the answer
     * @param metadata metadata in its head
     * @return false if the request may have run
     */
    static boolean isNotRun(int status, ResponseMetadata metadata) {
        boolean failure = status >= HttpResponseStatus.BAD_REQUEST.code();
        return isMisdirected(status) || (metadata.notRun() && failure);
    }
}
