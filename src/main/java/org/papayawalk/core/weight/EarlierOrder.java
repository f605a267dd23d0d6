package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import org.papayawalk.core.upstream.EngineReport;

/**
 * Load order that an earlier process of this agent may have sent without getting an answer. While
 * such an order is open, exactly its version is staged, and it names the number of orders that the
 * engine had accepted. Immutable.
 *
 * @param ordersAtStart number of orders that the engine had accepted when this process started
 * @param startedAt start of this process, after which no earlier one sends an order
 */
public record EarlierOrder(long ordersAtStart, Instant startedAt) {
    /** More than the longest time for which an engine was seen to hold an order, 9.4 s. */
    private static final Duration MAX_LIFETIME = Duration.ofSeconds(12);

    /**
     * Returns whether the engine may still accept an order for a version that is staged and is not
     * the wanted one. If the engine serves the version before the wanted one, there is none: what
     * is staged is the version that it serves.
     *
     * @param wanted number of the wanted version, other than the staged one
     * @param model name of the model
     * @param report last report of the engine
     * @param now present time
     * @return true if the staged version has to stay as it is
     */
    public boolean mayBeOpen(int wanted, String model, EngineReport report, Instant now) {
        boolean noneBetween = report.models().getOrDefault(model, 0) == wanted - 1;
        boolean served = report.models().containsKey(model);
        return !(served && noneBetween)
                && report.orders() == ordersAtStart
                && now.isBefore(startedAt.plus(MAX_LIFETIME));
    }
}
