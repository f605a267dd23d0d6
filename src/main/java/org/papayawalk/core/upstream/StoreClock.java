package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Converts times of the store's clock to times of this daemon's clock. The fastest of the recent
 * answers gives the difference of the clocks, so that an answer that was long on its way does not
 * make what it tells look newer than it is. The converted time is at most the delay of that fastest
 * answer too late, and never after the receipt.
 *
 * <p>Both clocks are steady, but a daemon that is suspended misses that time, and a store that is
 * restored may start its clock anew; so only the last seconds count. Not thread-safe.
 */
public final class StoreClock {
    private static final Duration WINDOW = Duration.ofSeconds(8);

    /** Answers of the window; earlier ones that are slower than a later one are left out. */
    private final Deque<Answer> answers = new ArrayDeque<>();

    /**
     * Records an answer and converts the time at which the store gave it.
     *
     * @param storeMillis time of the answer by the store's clock, in milliseconds
     * @param receivedAt time of its receipt by this daemon's clock
     * @return time at which the store gave the answer, by this daemon's clock; at most 8 s before
     *     its receipt
     */
    public Instant convert(long storeMillis, Instant receivedAt) {
        Answer answer = new Answer(receivedAt, receivedAt.minusMillis(storeMillis));
        while (!answers.isEmpty() && !answers.getLast().origin.isBefore(answer.origin)) {
            answers.removeLast();
        }
        answers.addLast(answer);
        Instant windowStart = receivedAt.minus(WINDOW);
        while (answers.getFirst().receivedAt.isBefore(windowStart)) {
            answers.removeFirst();
        }
        Instant converted = answers.getFirst().origin.plusMillis(storeMillis);
        return converted.isBefore(windowStart) ? receivedAt : converted;
    }

    // origin: zero of the store's clock if the answer took no time.
    private record Answer(Instant receivedAt, Instant origin) {}
}
