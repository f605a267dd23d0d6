package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;

/**
 * Call to the store for the changes of a table. Immutable.
 *
 * @param kind purpose of the call
 * @param after version number after which changes are asked for
 * @param sentAt time at which it was sent
 * @param hold time for which the store may hold it while there are no changes
 */
record FeedCall(StoreCalls.Kind kind, long after, Instant sentAt, Duration hold) {
    /**
     * Returns the time until which the answer has every change. The store has looked at the table
     * after the call was sent, and at the end of the wait if it has held the call to no avail.
     *
     * @param empty whether the answer has no changes
     * @param now time at which the answer was received
     * @return time, not after the present one
     */
    Instant provenUntil(boolean empty, Instant now) {
        Instant heldUntil = sentAt.plus(hold);
        return empty && !heldUntil.isAfter(now) ? heldUntil : sentAt;
    }
}
