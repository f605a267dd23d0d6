package org.papayawalk.support;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for what other threads do. Holds no state; safe from any thread. */
public final class Await {

    /** Prevents instances. */
    private Await() {}

    /**
     * Waits until something holds, and fails if it does not within a limit.
     *
     * @param limitMillis longest wait, in milliseconds
     * @param condition condition
     */
    public static void within(long limitMillis, BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "did not happen within " + limitMillis + " ms");
            Thread.onSpinWait();
        }
    }
}
