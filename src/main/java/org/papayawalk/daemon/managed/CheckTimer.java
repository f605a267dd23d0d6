package org.papayawalk.daemon.managed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.papayawalk.daemon.ControlThread;

/**
 * Timer of the next check of a table. Its time may move on while it runs. Confined to the control
 * thread.
 */
final class CheckTimer {
    private final ControlThread thread;

    private final InstantSource clock;

    private boolean running;

    // Number of the present run; timers of earlier ones have no effect.
    private int number;

    /**
     * Creates a timer that does not run.
     *
     * @param thread control thread
     * @param clock monotonic clock
     */
    CheckTimer(ControlThread thread, InstantSource clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /**
     * Starts the timer anew.
     *
     * @param due returns when the check is due; asked again at that time
     * @param check run once, unless the timer is cancelled before
     */
    void start(Supplier<Instant> due, Runnable check) {
        running = true;
        number++;
        await(number, due, check);
    }

    /** Stops the timer. */
    void cancel() {
        running = false;
    }

    /**
     * Returns whether a check is awaited.
     *
     * @return false after the check or a cancellation
     */
    boolean isRunning() {
        return running;
    }

    private void await(int run, Supplier<Instant> due, Runnable check) {
        Duration left = Duration.between(clock.instant(), due.get());
        thread.schedule(left.isNegative() ? Duration.ZERO : left, () -> end(run, due, check));
    }

    private void end(int run, Supplier<Instant> due, Runnable check) {
        if (!running || run != number) {
            return;
        }
        if (due.get().isAfter(clock.instant())) {
            await(run, due, check);
            return;
        }
        running = false;
        check.run();
    }
}
