package org.papayawalk.daemon.managed.entry;

import java.util.List;
import org.papayawalk.core.id.PromptPartId;

/**
 * What a request is recognized by when it crashes upstreams. Immutable.
 *
 * @param fingerprint text that is equal for requests with the same content
 * @param promptParts parts of its prompt that other requests may share
 */
record RequestSignature(String fingerprint, List<PromptPartId> promptParts) {
    /** Copies the parts. */
    RequestSignature {
        promptParts = List.copyOf(promptParts);
    }
}
