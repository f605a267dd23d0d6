package org.papayawalk.daemon.managed.entry;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Timer of a connection, of which at most one runs. Confined to the event loop thread. */
final class ConnectionTimer {
    private final EventExecutor executor;

    /** Null if the timer was never started or was cancelled. */
    private ScheduledFuture<?> running;

    /**
     * Creates a timer that is not running.
     *
     * @param executor event loop of the connection
     */
    ConnectionTimer(EventExecutor executor) {
        this.executor = executor;
    }

    /**
     * Starts the timer anew.
     *
     * @param limit time until the task runs
     * @param task task
     */
    void start(Duration limit, Runnable task) {
        cancel();
        running = executor.schedule(task, limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops the timer. */
    void cancel() {
        if (running != null) {
            running.cancel(false);
            running = null;
        }
    }
}
