package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.upstream.EngineReport;

/**
 * Load order that the engine has not answered. The engine may accept it at any later time, but only
 * while it has accepted exactly the orders on which this one is based. Immutable.
 *
 * @param ordersSeen number of orders that the engine had accepted when this one was decided
 * @param sentAt when the order was decided first; repeats of it do not count
 */
public record OpenOrder(long ordersSeen, Instant sentAt) {
    /** Longest time from a repeat to its acceptance; engines were seen to hold orders for 10 s. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(15);

    /** Time in which the order is repeated, so that one copy of it is accepted. */
    private static final Duration REPEATED_FOR = Duration.ofSeconds(15);

    /**
     * Returns whether the order may be repeated.
     *
     * @param now present time
     * @return false if the engine has left all copies unanswered for long
     */
    public boolean mayBeRepeated(Instant now) {
        return now.isBefore(sentAt.plus(REPEATED_FOR));
    }

    /**
     * Returns whether the engine can no longer accept the order. An order ends with the process it
     * was sent to. It counts as open all the same if the new process has accepted as many orders,
     * which costs no more than one load of its version.
     *
     * @param report report that the engine made after the order was sent
     * @param now present time
     * @return true if the engine has accepted another number of orders, or if the last repeat is
     *     too old to be accepted
     */
    public boolean isSettledBy(EngineReport report, Instant now) {
        return report.orders() != ordersSeen
                || sentAt.plus(REPEATED_FOR).plus(MAX_DELAY).isBefore(now);
    }
}
