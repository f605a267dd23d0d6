package org.papayawalk.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.papayawalk.log.Event;

/**
 * The one thread that changes control state. A task that fails is logged and does not stop later
 * ones. Thread-safe.
 */
public final class ControlThread implements AutoCloseable {
    /** Share of an interval by which repeated tasks are spread. */
    private static final double JITTER = 0.2;

    /** Thread. */
    private final ScheduledExecutorService executor;

    /**
     * Starts the thread.
     *
     * @param name name of the thread
     */
    public ControlThread(String name) {
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Runs a task on the thread.
     *
     * @param task task to run
     */
    public void run(Runnable task) {
        try {
            executor.execute(() -> guarded(task));
        } catch (RejectedExecutionException e) {
            Event.named("control-task-dropped").with("reason", "daemon stops").info();
        }
    }

    /**
     * Runs a task after a while.
     *
     * @param delay time to wait
     * @param task task to run
     */
    public void later(Duration delay, Runnable task) {
        try {
            executor.schedule(() -> guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            Event.named("control-task-dropped").with("reason", "daemon stops").info();
        }
    }

    /**
     * Runs a task again and again. The first run and each pause are spread at random, so that many
     * daemons do not act at the same moment.
     *
     * @param interval mean time between runs
     * @param task task to run
     */
    public void every(Duration interval, Runnable task) {
        double factor = 1 - JITTER + 2 * JITTER * ThreadLocalRandom.current().nextDouble();
        long nanos = (long) (interval.toNanos() * factor);
        later(
                Duration.ofNanos(nanos),
                () -> {
                    guarded(task);
                    every(interval, task);
                });
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Runs a task and logs its failure.
     *
     * @param task task to run
     */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Event.named("control-task-failed").error(e);
        }
    }
}
