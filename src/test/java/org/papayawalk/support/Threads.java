package org.papayawalk.support;

/** Starts threads of stand-ins, which end with the tests. Stateless and thread-safe. */
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
}
