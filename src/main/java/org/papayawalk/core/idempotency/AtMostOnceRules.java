package org.papayawalk.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Rules of the at-most-once protocol. Only the agent that changes the row from {@code CLAIMED} to
 * {@code STARTED} by compare-and-set, under the token of its request, forwards the call; this
 * change succeeds at most once for each token. Times determine only how long an entry waits, never
 * whether a call may run, so clock skew cannot make a call run twice. Stateless; thread-safe.
 */
public final class AtMostOnceRules {
    /** Age of a claim from which another entry may take the call over. */
    static final Duration CLAIM_GRACE_PERIOD = Duration.ofSeconds(5);

    /**
     * Determines the action of an entry on a call.
     *
     * @param row row of the call, or empty if there is none
     * @param fingerprint digest of the present request
     * @param now present time
     * @return action of the entry
     */
    public ClaimDecision decide(Optional<IdempotencyRecord> row, String fingerprint, Instant now) {
        if (row.isEmpty()) {
            return ClaimDecision.INSERT;
        }
        IdempotencyRecord r = row.get();
        if (!r.fingerprint().equals(fingerprint)) {
            return ClaimDecision.MISMATCH;
        }
        return switch (r.phase()) {
            case ANSWERED -> ClaimDecision.REPLAY;
            case RELEASED -> ClaimDecision.TAKE_OVER;
            case STARTED -> ClaimDecision.WAIT;
            case CLAIMED -> {
                boolean fresh = r.writtenAt().plus(CLAIM_GRACE_PERIOD).isAfter(now);
                yield fresh ? ClaimDecision.WAIT : ClaimDecision.TAKE_OVER;
            }
        };
    }

    /**
     * Returns whether an agent may change a row to {@code STARTED}.
     *
     * @param row row of the call, or empty if there is none
     * @param token token in the request from the entry
     * @return true if the row is claimed under that token
     */
    public boolean mayStart(Optional<IdempotencyRecord> row, String token) {
        return row.isPresent()
                && row.get().phase() == IdempotencyPhase.CLAIMED
                && row.get().token().equals(token);
    }

    /**
     * Returns whether an agent's own change to {@code STARTED} took effect, even if the response to
     * the write was lost.
     *
     * @param row row as read back after the write, or empty if there is none
     * @param token unique token of the attempt
     * @param agent host of the agent
     * @return true if that agent has started the call under the token
     */
    public boolean isStartedBy(Optional<IdempotencyRecord> row, String token, String agent) {
        return row.isPresent()
                && row.get().phase() == IdempotencyPhase.STARTED
                && row.get().token().equals(token)
                && row.get().holder().equals(agent);
    }
}
