package org.papayawalk.daemon.managed.entry;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Gives connections turns on the event loop whose bytes cost much time for little data. One of them
 * has a turn at a time, with a pause after it, so that all of them together leave the event loop to
 * others. Confined to the event loop thread.
 */
final class TurnQueue {
    private static final long PAUSE_MILLIS = 1;

    private final EventLoop loop;

    private final Deque<Runnable> waiting = new ArrayDeque<>();

    private boolean scheduled;

    /**
     * Creates a queue in which nobody waits.
     *
     * @param loop event loop
     */
    TurnQueue(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Adds a turn behind those that wait.
     *
     * @param turn called once
     */
    void add(Runnable turn) {
        waiting.addLast(turn);
        schedule();
    }

    private void schedule() {
        if (!scheduled && !waiting.isEmpty()) {
            scheduled = true;
            loop.schedule(this::runNext, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runNext() {
        scheduled = false;
        waiting.removeFirst().run();
        schedule();
    }
}
