package org.papayawalk.core.upstream;

import java.util.ArrayList;
import java.util.List;

/**
 * Emulated store in the first region with one row of 50 kB. A call that arrives or waits while the
 * store is silent is never answered. Times are in milliseconds. Not thread-safe.
 */
final class EmulatedStore {
    /** Bytes of an answer with the row, whose value is encoded in base64. */
    static final int ANSWER_BYTES = 50_000 * 4 / 3;

    private static final int SMALL_BYTES = 200;

    private static final int REGION = 0;

    // Long poll that the store holds.
    private record Call(EmulatedEntry entry, int number, int life, long after) {}

    private final EmulatedNetwork network;

    private final List<Call> held = new ArrayList<>();

    private long version;

    private long calls;

    private long silentUntil = -1_000_000;

    /**
     * Creates a store without a row.
     *
     * @param network time and links
     */
    EmulatedStore(EmulatedNetwork network) {
        this.network = network;
    }

    /**
     * Writes the row.
     *
     * @return its version
     */
    long write() {
        version++;
        List<Call> waiting = List.copyOf(held);
        held.clear();
        waiting.forEach(this::answer);
        return version;
    }

    /**
     * Leaves calls without an answer from now on.
     *
     * @param duration time
     */
    void silence(int duration) {
        held.clear();
        silentUntil = Math.max(silentUntil, network.now() + duration);
    }

    /**
     * Returns the end of the last silence.
     *
     * @return time, also in the future
     */
    long silentUntil() {
        return silentUntil;
    }

    /**
     * Returns the number of changes.
     *
     * @return version of the row
     */
    long version() {
        return version;
    }

    /**
     * Returns the calls that entries made.
     *
     * @return number, lost ones included
     */
    long calls() {
        return calls;
    }

    /** Counts a call that does not arrive. */
    void countLost() {
        calls++;
    }

    /**
     * Takes a call for changes.
     *
     * @param entry caller
     * @param number number of the call
     * @param life process of the caller
     * @param after version that the caller has
     * @param wait time for which to hold it while there is nothing newer
     */
    void call(EmulatedEntry entry, int number, int life, long after, long wait) {
        calls++;
        Call c = new Call(entry, number, life, after);
        long at = network.arrival(entry.region(), REGION, SMALL_BYTES);
        network.at(at, () -> handle(c, wait));
    }

    private void handle(Call c, long wait) {
        if (silentUntil > network.now()) {
            return;
        }
        if (wait == 0 || version > c.after) {
            answer(c);
            return;
        }
        held.add(c);
        network.at(
                network.now() + wait,
                () -> {
                    if (held.remove(c)) {
                        answer(c);
                    }
                });
    }

    private void answer(Call c) {
        if (c.entry.isCutFromStore()) {
            return;
        }
        long read = version;
        int bytes = SMALL_BYTES + (read > c.after ? ANSWER_BYTES : 0);
        long at = network.arrival(REGION, c.entry.region(), bytes);
        network.at(at, () -> c.entry.callAnswered(c.number, c.life, read));
    }
}
