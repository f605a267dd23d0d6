package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.papayawalk.core.id.StoreEra;
import org.testng.annotations.Test;

/** Tests {@link EraRenewal} with restores of the store before, between and after its writes. */
public final class EraRenewalTest {
    private static final Duration SPREAD = Duration.ofMillis(1000);

    /** Before the row was written for the first time, no era makes a further write due. */
    @Test
    public void nothingIsDueBeforeTheFirstWrite() {
        EraRenewal renewal = new EraRenewal(SPREAD);
        assertTrue(renewal.eraSeen(new StoreEra(3), 0.5).isEmpty());
    }

    /** A later era makes one write due, at a random moment, however many answers state it. */
    @Test
    public void laterEraMakesOneWriteDue() {
        EraRenewal renewal = new EraRenewal(SPREAD);
        renewal.acknowledged(new StoreEra(1));
        assertTrue(renewal.eraSeen(new StoreEra(1), 0.5).isEmpty());
        assertEquals(renewal.eraSeen(new StoreEra(2), 0.25), Optional.of(Duration.ofMillis(250)));
        assertTrue(renewal.eraSeen(new StoreEra(2), 0.5).isEmpty());
        renewal.acknowledged(new StoreEra(2));
        assertTrue(renewal.eraSeen(new StoreEra(2), 0.5).isEmpty());
    }

    /** A late answer of an earlier era makes no write due. */
    @Test
    public void earlierEraMakesNoWriteDue() {
        EraRenewal renewal = new EraRenewal(SPREAD);
        renewal.acknowledged(new StoreEra(2));
        assertTrue(renewal.eraSeen(new StoreEra(1), 0.5).isEmpty());
    }

    /** A second restore before the scheduled write leaves one write due, a later one another. */
    @Test
    public void secondRestoreMakesAnotherWriteDue() {
        EraRenewal renewal = new EraRenewal(SPREAD);
        renewal.acknowledged(new StoreEra(1));
        assertTrue(renewal.eraSeen(new StoreEra(2), 0.5).isPresent());
        assertTrue(renewal.eraSeen(new StoreEra(3), 0.5).isEmpty());
        renewal.acknowledged(new StoreEra(3));
        assertTrue(renewal.eraSeen(new StoreEra(4), 0.5).isPresent());
    }

    /** A restore right after the acknowledgement of the renewed row makes a write due again. */
    @Test
    public void acknowledgementOfAnEarlierEraLeavesTheWriteDue() {
        EraRenewal renewal = new EraRenewal(SPREAD);
        renewal.acknowledged(new StoreEra(1));
        renewal.eraSeen(new StoreEra(2), 0.5);
        renewal.eraSeen(new StoreEra(3), 0.5);
        renewal.acknowledged(new StoreEra(2));
        assertTrue(renewal.eraSeen(new StoreEra(3), 0.5).isPresent());
    }
}
