package org.papayawalk.daemon.standalone.agent;

import java.util.List;

/**
 * Request in flight to the upstream, as the entries are told of it after a crash. Immutable.
 *
 * @param fingerprint fingerprint of the request
 * @param promptParts parts of its prompt that other requests may share, empty if its answer has not
 *     begun
 */
record RunningRequest(String fingerprint, List<String> promptParts) {
    /** Copies the parts. */
    RunningRequest {
        promptParts = List.copyOf(promptParts);
    }
}
