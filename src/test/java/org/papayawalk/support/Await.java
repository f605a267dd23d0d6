package org.papayawalk.support;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests for effects of other threads. Stateless and thread-safe. */
public final class Await {
    private Await() {}

    /**
     * Waits until a condition holds. Fails the test if it does not hold within the limit.
     *
     * @param limitMillis longest wait, in milliseconds
     * @param condition condition, evaluated repeatedly on the calling thread without a pause
     */
    public static void within(long limitMillis, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < deadline,
                    "condition did not hold within " + limitMillis + " ms");
            Thread.onSpinWait();
        }
    }
}
