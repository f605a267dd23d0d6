package org.papayawalk.daemon.managed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;

/** Kind of call to a {@link FakeStore}. Implementations are thread-safe. */
interface FakeStoreCall {
    /**
     * Handles a call.
     *
     * @param query parameters by name
     * @param body body of the request
     * @return answer, null if the history was dropped
     * @throws IOException if the body is not JSON
     * @throws InterruptedException if the wait is interrupted
     */
    ObjectNode handle(Map<String, String> query, byte[] body)
            throws IOException, InterruptedException;
}
