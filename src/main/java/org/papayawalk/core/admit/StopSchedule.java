package org.papayawalk.core.admit;

import java.time.Instant;
import org.papayawalk.core.desired.RequestKind;

/**
 * Decides which requests a stopping process still takes. Those that may run only once are taken if
 * they end before the process does whatever happens, as a caller that loses the answer cannot
 * repeat them. Immutable.
 *
 * @param servesUntil time from which no request is taken
 * @param endsAt time at which the process ends, with or without its requests
 */
public record StopSchedule(Instant servesUntil, Instant endsAt) {

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
}
