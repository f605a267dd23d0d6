package org.papayawalk.support;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/**
 * Starts threads of stand-ins, which end with the tests, and lets them wait. Stateless and
 * thread-safe.
 */
public final class Threads {
    private Threads() {}

    /**
     * Starts a daemon thread.
     *
     * @param name name of the thread
     * @param task what it runs
     */
    public static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits for a latch.
     *
     * @param latch latch
     * @throws IOException if the thread is interrupted
     */
    public static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
