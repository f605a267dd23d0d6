package org.papayawalk.core.idempotency;

import org.papayawalk.core.id.Digest;

/**
 * Answer of a non-idempotent call, stored for replay as JSON under the names of its components.
 * Immutable by convention: the array is not modified after construction.
 *
 * @param status HTTP status code from the upstream
 * @param contentType media type of the body
 * @param body complete body, null if it is in the object store
 * @param object name of the object with the body, null if the body is stored here
 * @param objectDigest digest of the object; null if the body is stored here, and in rows of earlier
 *     versions
 */
public record StoredAnswer(
        int status, String contentType, byte[] body, String object, Digest objectDigest) {}
