package org.papayawalk.core.idempotency;

import java.time.Instant;

/**
 * Row of a non-idempotent call. It is stored as JSON under the names of its components. Immutable.
 *
 * @param phase phase of the call
 * @param fingerprint digest of the request, which detects a key that is reused for another request
 * @param token unique token of the attempt that owns the call
 * @param holder host that wrote the row last
 * @param writtenAt when the row was written, by the clock of that host
 * @param answer stored answer, null unless the phase is {@code ANSWERED}
 */
public record IdempotencyRecord(
        IdempotencyPhase phase,
        String fingerprint,
        String token,
        String holder,
        Instant writtenAt,
        StoredAnswer answer) {

    /**
     * Returns the row of a new claim.
     *
     * @param fingerprint digest of the request
     * @param token unique token of the attempt
     * @param entry host of the entry that claims the call
     * @param now present time
     * @return row in phase {@code CLAIMED}
     */
    public static IdempotencyRecord claim(
            String fingerprint, String token, String entry, Instant now) {
        return new IdempotencyRecord(
                IdempotencyPhase.CLAIMED, fingerprint, token, entry, now, null);
    }

    /**
     * Returns the row of the same attempt in another phase.
     *
     * @param next new phase
     * @param host host that writes the row
     * @param now present time
     * @param stored answer to store, null if there is none
     * @return row with the same fingerprint and token
     */
    public IdempotencyRecord withPhase(
            IdempotencyPhase next, String host, Instant now, StoredAnswer stored) {
        return new IdempotencyRecord(next, fingerprint, token, host, now, stored);
    }
}
