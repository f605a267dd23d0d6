package org.papayawalk.core.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Rules of the at-most-once protocol. A call is forwarded only by the agent that moved its row from
 * {@code CLAIMED} to {@code STARTED} under the token it was given, and that move succeeds once.
 * Times only decide how long to wait, never whether a call may run. Holds no state; safe from any
 * thread.
 */
public final class AtMostOnceRules {
    /** Age below which a claim is left to the entry that made it. */
    static final Duration CLAIM_GRACE_PERIOD = Duration.ofSeconds(5);

    /**
     * Decides what an entry does about a call.
     *
     * @param row row of the call, or empty if there is none
     * @param fingerprint digest of the request at hand
     * @param now present time
     * @return the decision
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
     * Tells whether an agent may move a row to {@code STARTED}.
     *
     * @param row row of the call, or empty if there is none
     * @param token token that came with the request
     * @return true if the row is claimed under that token
     */
    public boolean mayStart(Optional<IdempotencyRecord> row, String token) {
        return row.isPresent()
                && row.get().phase() == IdempotencyPhase.CLAIMED
                && row.get().token().equals(token);
    }

    /**
     * Tells whether a row shows that an agent's own move to {@code STARTED} took effect, although
     * the answer to the write was lost.
     *
     * @param row row read back
     * @param token token of the attempt, unique to it
     * @param agent host of the agent
     * @return true if the row is started under the token by that agent
     */
    public boolean isStartedBy(Optional<IdempotencyRecord> row, String token, String agent) {
        return row.isPresent()
                && row.get().phase() == IdempotencyPhase.STARTED
                && row.get().token().equals(token)
                && row.get().holder().equals(agent);
    }
}
