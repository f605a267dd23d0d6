package org.papayawalk.core.upstream;

/**
 * Emulated process that is killed, frozen, slowed and cut off. Each trouble comes without a sign of
 * it. Times are in milliseconds. Not thread-safe.
 */
abstract class EmulatedProcess {
    private static final long NEVER = -1_000_000;

    private final int region;

    private final EmulatedNetwork network;

    // Number of the process. Actions of earlier ones are dropped.
    private int life;

    private boolean running = true;

    private long goneAt = NEVER;

    private long frozenUntil = NEVER;

    private long slowUntil = NEVER;

    private long slowBy;

    private long cutFromStoreUntil = NEVER;

    private long cutUntil = NEVER;

    private long troubleEnd = NEVER;

    /**
     * Creates a process that runs.
     *
     * @param region index of its region
     * @param network time and links
     */
    EmulatedProcess(int region, EmulatedNetwork network) {
        this.region = region;
        this.network = network;
    }

    /** Starts again after a kill, with nothing in memory. */
    abstract void restart();

    /**
     * Returns time and links.
     *
     * @return network
     */
    EmulatedNetwork network() {
        return network;
    }

    /**
     * Returns the number of the process.
     *
     * @return number of kills before
     */
    int life() {
        return life;
    }

    /**
     * Returns when the process was killed.
     *
     * @return time, the future while it runs
     */
    long goneAt() {
        return running ? Long.MAX_VALUE : goneAt;
    }

    /**
     * Returns the index of the region.
     *
     * @return region
     */
    int region() {
        return region;
    }

    /**
     * Tells whether the entry is in touch.
     *
     * @param time a time in the past
     * @return true if it ran and reached everything from then on
     */
    boolean calmSince(long time) {
        return running && troubleEnd <= time;
    }

    /**
     * Kills the process; it starts again later.
     *
     * @param down time until the start
     */
    void kill(int down) {
        if (!running) {
            return;
        }
        running = false;
        goneAt = network.now();
        life++;
        trouble(down);
        network.at(network.now() + down, this::startAgain);
    }

    /**
     * Freezes the process; what it would have done and received is late.
     *
     * @param duration time
     */
    void freeze(int duration) {
        frozenUntil = trouble(duration);
    }

    /**
     * Makes all that the process does late.
     *
     * @param duration time
     * @param delay delay of each action
     */
    void slow(int duration, int delay) {
        slowUntil = trouble(duration);
        slowBy = delay;
    }

    /**
     * Cuts the entry off the store, without a sign of it.
     *
     * @param duration time
     */
    void cutFromStore(int duration) {
        cutFromStoreUntil = trouble(duration);
    }

    /**
     * Cuts the entry off everything, without a sign of it.
     *
     * @param duration time
     */
    void cut(int duration) {
        cutUntil = trouble(duration);
    }

    /**
     * Tells whether the entry is cut off the store.
     *
     * @return true if nothing arrives in either direction
     */
    boolean isCutFromStore() {
        return cutFromStoreUntil > network.now() || isCut();
    }

    private void startAgain() {
        running = true;
        restart();
    }

    private long trouble(int duration) {
        long end = network.now() + duration;
        troubleEnd = Math.max(troubleEnd, end);
        return end;
    }

    private boolean isCut() {
        return cutUntil > network.now();
    }

    /**
     * Sends a message to another process, unless one of the two is cut off.
     *
     * @param to receiver
     * @param bytes size
     * @param action what the receiver does with it
     */
    void send(EmulatedProcess to, int bytes, Runnable action) {
        if (isCut() || to.isCut()) {
            return;
        }
        to.later(network.arrival(region, to.region, bytes) - network.now(), action);
    }

    /**
     * Schedules an action of the present process.
     *
     * @param delay time from now
     * @param action dropped if the process ends before, late if it is slow or frozen
     */
    void later(long delay, Runnable action) {
        later(life, delay, action);
    }

    /**
     * Schedules an action of a process.
     *
     * @param process number of the process
     * @param delay time from now
     * @param action dropped if the process ends before, late if it is slow or frozen
     */
    void later(int process, long delay, Runnable action) {
        long slowness = slowUntil > network.now() ? slowBy : 0;
        network.at(
                network.now() + delay + slowness,
                () -> {
                    if (life != process || !running) {
                        return;
                    }
                    if (frozenUntil > network.now()) {
                        later(process, frozenUntil - network.now(), action);
                        return;
                    }
                    action.run();
                });
    }
}
