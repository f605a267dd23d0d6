package org.papayawalk.core.upstream;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import org.testng.annotations.Test;

/** Tests {@link StoreClock} with answers that take between 10 ms and seconds. */
public final class StoreClockTest {
    private static final Instant T0 = Instant.parse("2026-01-01T00:00:00Z");

    // Time of the store's clock at T0.
    private static final long STORE_MILLIS = 5_000_000;

    private final StoreClock clock = new StoreClock();

    /** An answer that took 2 s more than an earlier one counts from when it was given. */
    @Test
    public void slowAnswerIsDatedBack() {
        answer(0, 10);
        assertEquals(answer(1000, 2010), T0.plusMillis(1010));
    }

    /** The first answer counts from its receipt, as nothing is known of the store's clock. */
    @Test
    public void firstAnswerCountsFromItsReceipt() {
        StoreClock fresh = new StoreClock();
        assertEquals(fresh.convert(STORE_MILLIS, T0), T0);
    }

    /** A daemon that was suspended for 3 s does not date answers back for longer than 8 s. */
    @Test
    public void suspensionIsForgotten() {
        StoreClock fresh = new StoreClock();
        fresh.convert(STORE_MILLIS, T0);
        fresh.convert(STORE_MILLIS + 4000, T0.plusMillis(1000));
        Instant later = T0.plusMillis(10_000);
        assertEquals(fresh.convert(STORE_MILLIS + 13_000, later), later);
    }

    /** A restored store whose clock starts anew does not make answers look old. */
    @Test
    public void clockThatStartsAnewIsFollowed() {
        StoreClock fresh = new StoreClock();
        fresh.convert(STORE_MILLIS, T0);
        assertEquals(fresh.convert(100, T0.plusMillis(100)), T0.plusMillis(100));
    }

    private Instant answer(long givenAt, long receivedAt) {
        return clock.convert(STORE_MILLIS + givenAt, T0.plusMillis(receivedAt));
    }
}
