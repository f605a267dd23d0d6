package org.papayawalk.core.upstream;

import java.time.Duration;
import java.time.Instant;

/**
 * Times of the calls by which a daemon follows a table of the store. The store does not answer a
 * call that it lost, neither then nor later. So a call is given up early enough for the next one to
 * be answered in time once the store serves calls again. Calls that follow a failure do not wait
 * for changes, as most of them are lost as well while the store is away.
 *
 * <p>A bound of less than 2.1 s cannot be kept, because the store is given 1.2 s for an answer.
 * Immutable.
 */
public final class PollSchedule {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1200);

    private static final Duration MIN_WAIT = Duration.ofMillis(100);

    private static final Duration MAX_WAIT = Duration.ofSeconds(4);

    private static final Duration MIN_PAUSE = Duration.ofMillis(200);

    private static final Duration MAX_PAUSE = Duration.ofMillis(1000);

    // Time for late timers, a new connection and the answer to the call that ends a gap.
    private static final Duration RESERVE = Duration.ofMillis(600);

    // Time for a proof to reach the followers of a source before they would check.
    private static final Duration PROOF_RESERVE = Duration.ofMillis(300);

    // Time after a source's next proof is due at which a follower expects it.
    private static final Duration PROOF_DELAY = Duration.ofMillis(50);

    // Part of the longest delay of a change that may pass before it is read with later ones.
    private static final int COALESCE_DIVISOR = 10;

    // Part of the time between two checks that another daemon has at least to deliver changes.
    private static final int DELIVERY_DIVISOR = 4;

    private final Duration longPollWait;

    private final Duration longestPause;

    private final Duration checkInterval;

    private final Duration longestCoalescePause;

    /**
     * Creates a schedule.
     *
     * @param maxStaleness longest time from the end of trouble of the store until the daemon has
     *     its changes
     */
    public PollSchedule(Duration maxStaleness) {
        this(maxStaleness, maxStaleness);
    }

    /**
     * Creates a schedule with a bound on the time until a change is in force.
     *
     * @param maxStaleness longest time from the end of trouble of the store until the daemon has
     *     its changes
     * @param maxDelay longest time from a change until the daemon has it, while the store serves
     */
    public PollSchedule(Duration maxStaleness, Duration maxDelay) {
        Duration spare = maxStaleness.minus(RESPONSE_TIMEOUT).minus(RESERVE);
        longPollWait = clamp(spare.minus(MIN_PAUSE), MIN_WAIT, MAX_WAIT);
        longestPause = clamp(spare, MIN_PAUSE, MAX_PAUSE);
        // The other half is left for the call itself.
        checkInterval = clamp(maxDelay.dividedBy(2), MIN_WAIT, longPollWait);
        longestCoalescePause = maxDelay.dividedBy(COALESCE_DIVISOR);
    }

    /**
     * Returns how long the store may hold the next call while there are no changes.
     *
     * @param failures failed calls in a row before this one
     * @return zero after a failure
     */
    public Duration wait(int failures) {
        return failures == 0 ? longPollWait : Duration.ZERO;
    }

    /**
     * Returns how long a daemon waits for changes that a check has found and that another daemon
     * should deliver.
     *
     * @param draw random number from 0 (inclusive) to 1 (exclusive), so that few daemons read at
     *     the same moment
     * @return time from the answer to the check
     */
    public Duration deliveryWait(double draw) {
        return Duration.ofMillis((long) (checkInterval.toMillis() * (1 + draw) / DELIVERY_DIVISOR));
    }

    /**
     * Returns how long to wait for the answer to a call, and then for each further part of it.
     *
     * @param wait time for which the store may hold the call
     * @return time from sending the call
     */
    public Duration timeout(Duration wait) {
        return wait.plus(RESPONSE_TIMEOUT);
    }

    /**
     * Returns the pause before the next call after a failure. It grows linearly with the failures
     * in a row up to a bound; the jitter removes up to half of it.
     *
     * @param failures failed calls in a row, at least 1
     * @param draw random number from 0 (inclusive) to 1 (exclusive) that sets the jitter
     * @return pause
     */
    public Duration pause(int failures, double draw) {
        long bound = Math.min(longestPause.toMillis(), MIN_PAUSE.toMillis() * failures);
        return Duration.ofMillis((long) (bound * (1 + draw) / 2));
    }

    /**
     * Returns the longest time between two calls of a daemon that gets changes from another daemon
     * and only checks whether the store has newer ones. So a change is read in time whatever the
     * other daemon does.
     *
     * @return time from sending one call to sending the next
     */
    public Duration checkInterval() {
        return checkInterval;
    }

    /**
     * Returns the longest time between two proofs of a source that its table is complete. Followers
     * that get them need not check.
     *
     * @return time from the moment that one proves to the moment that the next one proves
     */
    public Duration proofInterval() {
        return clamp(checkInterval.minus(PROOF_RESERVE), MIN_WAIT, longPollWait);
    }

    /**
     * Returns how long the store may hold the next call of a source.
     *
     * @param completeUntil time until which its table is complete
     * @param now present time
     * @return time until its next proof is due
     */
    public Duration proofWait(Instant completeUntil, Instant now) {
        Instant due = notBeforeYesterday(completeUntil, now).plus(proofInterval());
        return clamp(Duration.between(now, due), Duration.ZERO, proofInterval());
    }

    /**
     * Returns whether entries make fewer calls if one of them is a source in calm.
     *
     * @param entries entries that know each other
     * @return false if so few follow the store with fewer calls
     */
    public boolean sourceSavesCalls(int entries) {
        return proofInterval().multipliedBy(entries).compareTo(longPollWait) > 0;
    }

    /**
     * Returns the longest time that the next read of a table is put off after one that brought
     * changes.
     *
     * @return bound of a {@link CoalescePause}
     */
    public Duration longestCoalescePause() {
        return longestCoalescePause;
    }

    /**
     * Returns how long another daemon may hold a query while it has nothing newer.
     *
     * @return time
     */
    public Duration sourceWait() {
        return checkInterval.dividedBy(2);
    }

    /**
     * Returns how long a source may hold a query, so that its answer brings the next proof.
     *
     * @param completeUntil time until which the follower's table is complete
     * @param now present time
     * @return time, at most that of {@link #sourceWait()}
     */
    public Duration sourceWait(Instant completeUntil, Instant now) {
        Instant due =
                notBeforeYesterday(completeUntil, now).plus(proofInterval()).plus(PROOF_DELAY);
        return clamp(Duration.between(now, due), MIN_WAIT, sourceWait());
    }

    /**
     * Returns how long to wait for an answer of another daemon beyond the time for which it may
     * hold the query.
     *
     * @return time
     */
    public Duration sourceTimeout() {
        return checkInterval.dividedBy(2);
    }

    /**
     * Returns the age of the last answer of another daemon from which on it counts as silent.
     *
     * @return time for which it may hold a query, and the time for the answer
     */
    public Duration sourceSilence() {
        return sourceWait().plus(sourceTimeout());
    }

    // Returns a time that differences can be taken of: at most one day before the present.
    private static Instant notBeforeYesterday(Instant time, Instant now) {
        Instant bound = now.minus(Duration.ofDays(1));
        return time.isBefore(bound) ? bound : time;
    }

    private static Duration clamp(Duration value, Duration min, Duration max) {
        if (value.compareTo(min) < 0) {
            return min;
        }
        return value.compareTo(max) > 0 ? max : value;
    }
}
