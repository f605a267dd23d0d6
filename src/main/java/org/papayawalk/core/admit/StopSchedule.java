package org.papayawalk.core.admit;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.desired.RequestKind;

/**
 * Decides which requests a stopping process still takes, and which connections it closes. Those
 * that may run only once are taken if they end before the process does whatever happens, as a
 * caller that loses the answer cannot repeat them. Immutable.
 *
 * @param servesUntil time from which no request is taken
 * @param endsAt time at which the process ends, with or without its requests
 */
public record StopSchedule(Instant servesUntil, Instant endsAt) {
    /** Time that a caller has between its connection and the first bytes of its request. */
    public static final Duration REQUEST_WAIT = Duration.ofMillis(500);

    /**
     * Returns whether a request is taken.
     *
     * @param kind kind of the request
     * @param deadline when its answer is due
     * @param now present time
     * @return false if the caller is better served by another process
     */
    public boolean accepts(RequestKind kind, Instant deadline, Instant now) {
        if (now.isAfter(servesUntil)) {
            return false;
        }
        return kind != RequestKind.NON_IDEMPOTENT || !deadline.isAfter(endsAt);
    }

    /**
     * Returns whether a connection without a request is closed. The request of one that was opened
     * a moment ago is on its way, and would get no answer.
     *
     * @param idleSince when the connection was opened, or its last response was complete
     * @param now present time
     * @return true if no request is expected on the connection
     */
    public boolean closesIdle(Instant idleSince, Instant now) {
        return now.isAfter(servesUntil) && !now.isBefore(idleSince.plus(REQUEST_WAIT));
    }
}
