package org.papayawalk.daemon.managed.entry;

import java.util.List;
import org.papayawalk.core.call.RequestMetadata;
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

    /**
     * Returns the signature of a request.
     *
     * @param request request as received
     * @param metadata what its caller states of it
     * @return signature
     */
    static RequestSignature of(CallerRequest request, RequestMetadata metadata) {
        return new RequestSignature(Fingerprints.of(request, metadata), metadata.promptParts());
    }
}
