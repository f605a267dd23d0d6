package org.papayawalk.core.weight;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Time for which an engine was seen to answer, and this process to run. An open call to an engine
 * ends in this time: while engine or process are frozen, or the engine is silent, the call stays as
 * it is. Thread-safe.
 */
public final class AnsweredTime {
    /** Longest time between two answers in which the engine is taken to have run all the while. */
    private static final Duration MAX_GAP = Duration.ofSeconds(1);

    private Instant present = Instant.EPOCH;

    private Optional<Instant> lastAnswer = Optional.empty();

    /**
     * Records an answer of the engine.
     *
     * @param now present time on the monotonic clock
     */
    public synchronized void answered(Instant now) {
        Duration gap = lastAnswer.map(t -> Duration.between(t, now)).orElse(Duration.ZERO);
        if (gap.isNegative()) {
            return;
        }
        present = present.plus(gap.compareTo(MAX_GAP) < 0 ? gap : MAX_GAP);
        lastAnswer = Optional.of(now);
    }

    /**
     * Returns the time at the last answer.
     *
     * @return time since the first answer, counted from the epoch
     */
    public synchronized Instant present() {
        return present;
    }
}
