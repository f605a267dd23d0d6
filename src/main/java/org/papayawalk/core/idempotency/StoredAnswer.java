package org.papayawalk.core.idempotency;

/**
 * Answer kept for replay. Immutable by convention: the bytes are not changed after construction.
 *
 * @param status HTTP status of the upstream
 * @param contentType media type of the body
 * @param body whole body, or null if it lies in the object store
 * @param object name of the object with the body, or null
 */
public record StoredAnswer(int status, String contentType, byte[] body, String object) {}
