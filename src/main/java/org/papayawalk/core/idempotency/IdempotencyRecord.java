package org.papayawalk.core.idempotency;

import java.time.Instant;

/**
 * Row of a non-idempotent call. Immutable.
 *
 * @param phase phase of the call
 * @param fingerprint digest of the request, so that one key cannot stand for two requests
 * @param token token of the attempt that holds the call
 * @param holder host that wrote the row last
 * @param writtenAt when it wrote the row, by its own clock
 * @param answer answer, or null before there is one
 */
public record IdempotencyRecord(
        IdempotencyPhase phase,
        String fingerprint,
        String token,
        String holder,
        Instant writtenAt,
        StoredAnswer answer) {

    /**
     * Creates the row of a claim.
     *
     * @param fingerprint digest of the request
     * @param token token of the attempt
     * @param entry host of the entry
     * @param now present time
     * @return row in phase {@code CLAIMED}
     */
    public static IdempotencyRecord claim(
            String fingerprint, String token, String entry, Instant now) {
        return new IdempotencyRecord(
                IdempotencyPhase.CLAIMED, fingerprint, token, entry, now, null);
    }

    /**
     * Returns the row in a later phase of the same attempt.
     *
     * @param next phase to move to
     * @param host host that writes
     * @param now present time
     * @param kept answer to keep, or null
     * @return the new row
     */
    public IdempotencyRecord withPhase(
            IdempotencyPhase next, String host, Instant now, StoredAnswer kept) {
        return new IdempotencyRecord(next, fingerprint, token, host, now, kept);
    }
}
