package org.papayawalk.core.weight;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Map;
import org.papayawalk.core.upstream.EngineReport;
import org.testng.annotations.Test;

/** Verifies until when a load order without an answer counts as one that may be accepted. */
public final class OpenOrderTest {
    private static final Instant SENT_AT = Instant.EPOCH;

    private static final OpenOrder ORDER = new OpenOrder(2, SENT_AT);

    /** An order stays open for as long as an engine was seen to hold one, ten seconds. */
    @Test
    public void orderIsOpenWhileTheEngineHasAcceptedNoOther() {
        assertFalse(ORDER.isSettledBy(report(2, 1), SENT_AT.plusSeconds(10)));
    }

    /** The number of accepted orders, on which the order is based, has passed. */
    @Test
    public void acceptedOrderSettlesIt() {
        assertTrue(ORDER.isSettledBy(report(3, 1), SENT_AT.plusMillis(1)));
    }

    /** A restarted engine may have accepted as many orders as its predecessor. */
    @Test
    public void restartOfTheEngineDoesNotSettleItByItself() {
        assertFalse(ORDER.isSettledBy(report(2, 9), SENT_AT.plusSeconds(3)));
    }

    /** An order that the engine never answers does not stop staging for ever. */
    @Test
    public void orderExpires() {
        assertFalse(ORDER.isSettledBy(report(2, 1), SENT_AT.plusSeconds(30)));
        assertTrue(ORDER.isSettledBy(report(2, 1), SENT_AT.plusSeconds(31)));
    }

    /** The last repeat is sent long enough before the order expires. */
    @Test
    public void orderIsNotRepeatedShortlyBeforeItExpires() {
        assertTrue(ORDER.mayBeRepeated(SENT_AT.plusSeconds(14)));
        assertFalse(ORDER.mayBeRepeated(SENT_AT.plusSeconds(15)));
    }

    private static EngineReport report(long orders, long incarnation) {
        return new EngineReport(incarnation, Map.of(), false, orders, 0, 0);
    }
}
