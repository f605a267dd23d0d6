package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.upstream.PollSchedule;

/** Tells the watcher of a table how to follow the store. Called on the control thread. */
@FunctionalInterface
interface TableFeed {
    /**
     * Returns whether the watcher follows the store.
     *
     * @return false while another daemon delivers the rows, so that checks suffice
     */
    boolean followsStore();

    /**
     * Returns how long the store may hold the next call of a watcher that follows it.
     *
     * @param schedule times of the calls
     * @param failures failed calls in a row before this one
     * @param completeUntil time until which the table is complete
     * @param now present time
     * @return time
     */
    default Duration storeWait(
            PollSchedule schedule, int failures, Instant completeUntil, Instant now) {
        return schedule.wait(failures);
    }
}
