package org.papayawalk.core.place;

import static org.testng.Assert.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Properties of {@link MinimumVersionRule} together with {@link ResponseDelays}: nothing begins on
 * a version that has expired, however slow messages become, and the version is used for long if
 * they do not.
 */
final class ExpiryProperties {
    private static final int DEADLINE_MILLIS = (int) ExpiryEmulation.DEADLINE.toMillis();

    // Time before the deadline from which an old version need not be used any more.
    private static final int UNUSED_MILLIS = 3000;

    /**
     * Holds while a link becomes congested: messages take up to 3 s, and half a second more in each
     * second.
     *
     * @param seed seed of the times of requests
     * @param pauseMillis mean time between requests
     * @param jamFrom when the congestion begins
     * @param rise growth of the delay
     * @param maxMillis longest delay
     */
    @Property(tries = 300, seed = "77")
    void nothingBeginsOnAnExpiredVersion(
            @ForAll @LongRange long seed,
            @ForAll @IntRange(min = 20, max = 300) int pauseMillis,
            @ForAll @IntRange(min = -3000, max = 9000) int jamFrom,
            @ForAll @DoubleRange(min = 0.05, max = 0.5) double rise,
            @ForAll @IntRange(min = 50, max = 3000) int maxMillis) {
        ExpiryEmulation emulation =
                new ExpiryEmulation(seed, pauseMillis, jamFrom, rise, maxMillis);
        emulation.run();
        int lastBegin = emulation.lastBegin();
        assertTrue(lastBegin <= DEADLINE_MILLIS, "a request began at " + lastBegin + " ms");
    }

    /**
     * Without congestion, requests are sent until shortly before the version expires.
     *
     * @param seed seed of the times of requests
     * @param pauseMillis mean time between requests
     */
    @Property(tries = 100, seed = "78")
    void oldVersionIsUsedWhileItIsValid(
            @ForAll @LongRange long seed, @ForAll @IntRange(min = 20, max = 100) int pauseMillis) {
        ExpiryEmulation emulation = new ExpiryEmulation(seed, pauseMillis, 0, 0, 0);
        emulation.run();
        int lastSend = emulation.lastSend();
        assertTrue(
                lastSend >= DEADLINE_MILLIS - UNUSED_MILLIS,
                "the last request was sent at " + lastSend + " ms");
    }
}
