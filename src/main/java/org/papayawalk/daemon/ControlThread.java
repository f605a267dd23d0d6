package org.papayawalk.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.papayawalk.log.Event;

/**
 * Single thread to which all changes of control state are confined. An exception thrown by a task
 * is logged and does not affect later tasks. Tasks submitted after {@link #close()} are dropped and
 * logged. Thread-safe.
 */
public final class ControlThread implements AutoCloseable {
    // Largest relative deviation of a delay from the interval of a repeated task.
    private static final double JITTER = 0.2;

    private final ScheduledExecutorService executor;

    /**
     * Creates a daemon thread that runs tasks in the order in which they become due.
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
     * Runs a task on the thread as soon as possible.
     *
     * @param task task to run
     */
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runAndLogFailure(task));
        } catch (RejectedExecutionException e) {
            Event.named("control-task-dropped").with("reason", "the daemon is stopping").info();
        }
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delay time from now until the task becomes due
     * @param task task to run
     */
    public void schedule(Duration delay, Runnable task) {
        try {
            executor.schedule(() -> runAndLogFailure(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            Event.named("control-task-dropped").with("reason", "the daemon is stopping").info();
        }
    }

    /**
     * Runs a task repeatedly until the thread is closed. The delay before the first run and between
     * runs has a jitter of 20 percent, so that many daemons do not act at the same moment.
     *
     * @param interval mean delay between the end of a run and the start of the next
     * @param task task to run
     */
    public void scheduleRepeatedly(Duration interval, Runnable task) {
        double factor = 1 - JITTER + 2 * JITTER * ThreadLocalRandom.current().nextDouble();
        long nanos = (long) (interval.toNanos() * factor);
        schedule(
                Duration.ofNanos(nanos),
                () -> {
                    runAndLogFailure(task);
                    scheduleRepeatedly(interval, task);
                });
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Event.named("control-task-failed").error(e);
        }
    }
}
