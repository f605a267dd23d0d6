package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.upstream.EngineReport;
import org.testng.annotations.Test;

/** Verifies until when an order of an earlier process counts as one that may be accepted. */
public final class EarlierOrderTest {
    private static final Instant STARTED_AT = Instant.EPOCH;

    private static final EarlierOrder ORDER = new EarlierOrder(4, STARTED_AT);

    private static final Map<String, Integer> SERVES_1 = Map.of("m", 1);

    /** Version 2 may be the staged one. An engine was seen to hold an order for 9.4 s. */
    @Test
    public void orderForAVersionInBetweenMayBeOpen() {
        assertTrue(mayBeOpen(3, SERVES_1, 4, 0));
        assertTrue(mayBeOpen(3, SERVES_1, 4, 10));
    }

    /** Any version before the wanted one may be the staged one. */
    @Test
    public void orderToAnEngineThatServesNothingMayBeOpen() {
        assertTrue(mayBeOpen(1, Map.of(), 4, 0));
        assertTrue(mayBeOpen(2, Map.of("other", 1), 4, 0));
    }

    /** An earlier process may have known a newer version than this one does. */
    @Test
    public void orderForAVersionAfterTheWantedOneMayBeOpen() {
        assertTrue(mayBeOpen(1, SERVES_1, 4, 0));
    }

    /** What is staged can only be the served version. */
    @Test
    public void noOrderIsOpenIfTheVersionBeforeIsServed() {
        assertFalse(mayBeOpen(2, SERVES_1, 4, 0));
    }

    /** The engine refuses orders that are based on another number of orders. */
    @Test
    public void acceptedOrderOrRestartSettlesIt() {
        assertFalse(mayBeOpen(3, SERVES_1, 5, 0));
        assertFalse(mayBeOpen(3, Map.of(), 0, 0));
    }

    /** The wait for an order that may not exist is bounded. */
    @Test
    public void orderExpires() {
        assertFalse(mayBeOpen(3, SERVES_1, 4, 12));
    }

    private static boolean mayBeOpen(
            int wanted, Map<String, Integer> models, long orders, int seconds) {
        EngineReport report = new EngineReport(1, models, false, orders, 0, 0);
        return ORDER.mayBeOpen(wanted, "m", report, STARTED_AT.plusSeconds(seconds));
    }
}
