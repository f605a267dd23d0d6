package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.http.ResponseBounds;

/**
 * Call to the store for the changes of a table. Immutable.
 *
 * @param kind purpose of the call
 * @param after version number after which changes are asked for
 * @param sentAt time at which it was sent
 * @param hold time for which the store may hold it while there are no changes
 * @param delegates whether another daemon delivers the changes, so that only few are read here
 */
record FeedCall(
        StoreCalls.Kind kind, long after, Instant sentAt, Duration hold, boolean delegates) {
    /** Longest time of a read whose bytes keep arriving. */
    private static final Duration LONGEST_READ = Duration.ofSeconds(30);

    /** Length of an answer up to which a check reads changes that another daemon delivers. */
    private static final int CHECK_BYTES = 16 * 1024;

    /**
     * Returns the bounds of an answer that is read whatever its length. A read that is given up and
     * begun anew takes more of a link that is short for all who read.
     *
     * @param quiet longest time between two parts of the answer
     * @return bounds
     */
    static ResponseBounds whole(Duration quiet) {
        return new ResponseBounds(quiet, LONGEST_READ, ResponseBounds.MAX_BYTES);
    }

    /**
     * Returns the bounds of the answer.
     *
     * @param quiet longest time between two parts of the answer
     * @return bounds, narrow for a check
     */
    ResponseBounds bounds(Duration quiet) {
        return delegates ? new ResponseBounds(quiet, LONGEST_READ, CHECK_BYTES) : whole(quiet);
    }

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
