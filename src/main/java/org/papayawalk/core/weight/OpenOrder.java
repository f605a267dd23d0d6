package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.upstream.EngineReport;

/**
 * Load order that the engine has not answered. The engine may accept it at any later time, but only
 * while it has accepted exactly the orders on which this one is based. Immutable.
 *
 * @param ordersSeen number of orders that the engine had accepted when this one was decided
 * @param sentAt when the order, or the last repeat of it, was sent
 */
public record OpenOrder(long ordersSeen, Instant sentAt) {
    /** Far more than the seconds for which an engine may hold an order that it does not answer. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(30);

    /**
     * Returns whether the engine can no longer accept the order. That the engine was restarted does
     * not settle it, as the new process may have accepted as many orders as the one before.
     *
     * @param report report that the engine made after the order was sent
     * @param now present time
     * @return true if the engine has accepted another number of orders, or if the order has expired
     */
    public boolean isSettledBy(EngineReport report, Instant now) {
        return report.orders() != ordersSeen || sentAt.plus(MAX_LIFETIME).isBefore(now);
    }
}
