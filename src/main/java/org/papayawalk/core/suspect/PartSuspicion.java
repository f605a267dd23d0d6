package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Evidence for and against one part of prompts. A crash counts against the part until a request
 * with the part is answered completely: a part that crashes upstreams crashes each of them. Not
 * thread-safe; guarded by its registry.
 */
final class PartSuspicion {
    /** Limits for a part without any complete answer. */
    private static final CrashLimits UNKNOWN_PART = new CrashLimits(2, 4, Duration.ZERO);

    /**
     * Limits for a part that was answered before. Its requests run at many upstreams at any time,
     * so it is involved when several of them crash for other reasons.
     */
    private static final CrashLimits ANSWERED_PART = new CrashLimits(5, 7, Duration.ofSeconds(1));

    /** Time without a crash after which a refused part is tried again; doubles with each trial. */
    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(10);

    /** The same for the first trial while another part may explain the crashes. */
    private static final Duration DOUBTFUL_RETRY_DELAY = Duration.ofSeconds(2);

    /** Number of such early trials. */
    private static final int DOUBTFUL_TRIALS = 2;

    /** Time in which requests that were sent before may still crash upstreams. */
    private static final Duration TRIAL_TIME = Duration.ofSeconds(1);

    /** Time after the crash from which an unknown part is refused. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

    /** Trials of a part after which upstreams are spared for long. */
    private static final int MAX_TRIALS = 3;

    /** Time without a crash after which a part is tried again that has failed so many trials. */
    private static final Duration LAST_RETRY_DELAY = Duration.ofMinutes(10);

    /** Last crash of each process, also of those that do not count. */
    private final Map<UpstreamProcess, Instant> crashes = new HashMap<>();

    /** Processes whose crash does not count, as an answer was complete after it. */
    private final Set<UpstreamProcess> cleared = new HashSet<>();

    /** When this entry learned of each crash that counts against the part. */
    private final Map<UpstreamProcess, Instant> counted = new HashMap<>();

    /** Whether an answer was ever complete. */
    private boolean answered;

    /** When another entry last told a crash as counting that does not count here. */
    private Instant contradictedAt = Instant.MIN;

    /**
     * Records a crash unless it is known.
     *
     * @param process crashed process
     * @param at when it crashed
     * @param now present time
     */
    void recordCrash(UpstreamProcess process, Instant at, Instant now) {
        if (crashes.putIfAbsent(process, at) == null && !cleared.contains(process)) {
            counted.put(process, now);
        }
    }

    /**
     * Records a complete answer that this entry has seen. It clears the crashes that were known
     * here when it began: times told by others are too uncertain to compare.
     *
     * @param begunAt when it began
     */
    void recordAnswer(Instant begunAt) {
        answered = true;
        Set<UpstreamProcess> before = new HashSet<>(counted.keySet());
        before.removeIf(p -> !counted.get(p).isBefore(begunAt));
        clear(before);
    }

    /** Notes that another entry has seen a complete answer at some time. */
    void noteAnswered() {
        answered = true;
    }

    /**
     * Records that an answer was complete after crashes.
     *
     * @param processes crashed processes
     */
    void clear(Set<UpstreamProcess> processes) {
        cleared.addAll(processes);
        counted.keySet().removeAll(processes);
    }

    /**
     * Notes what another entry counts, which is to be told if it does not count here.
     *
     * @param processes processes whose crash counts against the part there
     * @param now present time
     */
    void noteCounted(Set<UpstreamProcess> processes, Instant now) {
        if (processes.stream().anyMatch(cleared::contains)) {
            contradictedAt = now;
        }
    }

    /**
     * Returns when another entry last counted a crash that does not count here.
     *
     * @return time, {@link Instant#MIN} if none did
     */
    Instant contradictedAt() {
        return contradictedAt;
    }

    /**
     * Returns the processes whose crash counts against the part.
     *
     * @return processes, to be read only
     */
    Set<UpstreamProcess> processes() {
        return counted.keySet();
    }

    /**
     * Returns the processes whose crash does not count any more.
     *
     * @return copy of the set
     */
    Set<UpstreamProcess> cleared() {
        return Set.copyOf(cleared);
    }

    /**
     * Returns whether requests with the part run as trials only.
     *
     * @param now present time
     * @return true if enough crashes count against the part
     */
    boolean isSuspected(Instant now) {
        return limits().suspects(counted.size(), firstCrash(), now);
    }

    /**
     * Returns whether requests with the part are refused.
     *
     * @param now present time
     * @return true if enough crashes count against the part
     */
    boolean isRefused(Instant now) {
        return limits().refuses(counted.size(), firstCrash(), now);
    }

    /**
     * Returns until when any entry may try requests with the part while another part may explain
     * its crashes.
     *
     * @return time, {@link Instant#MAX} if few crashes count
     */
    Instant settledAt() {
        Instant crash = crashAt(UNKNOWN_PART.refusedFrom());
        return crash.equals(Instant.MAX) ? crash : crash.plus(SETTLING_TIME);
    }

    /**
     * Returns the processes that crashed when only trials may have crashed them.
     *
     * @return processes whose crash counts against the part, empty if few do
     */
    Set<UpstreamProcess> crashedInTrials() {
        if (counted.size() <= limits().refusedFrom()) {
            return Set.of();
        }
        Instant refusedAt = crashAt(limits().refusedFrom());
        Instant from = later(settledAt(), refusedAt).plus(TRIAL_TIME);
        Set<UpstreamProcess> crashed = new HashSet<>(counted.keySet());
        crashed.removeIf(p -> !crashes.get(p).isAfter(from));
        return crashed;
    }

    /**
     * Returns when the part, if refused, is tried again.
     *
     * @param failedTrials number of trials that crashed an upstream
     * @param doubtful whether another part may explain its crashes
     * @return time after the last crash that grows with the number of trials
     */
    Instant retryAt(int failedTrials, boolean doubtful) {
        if (failedTrials >= MAX_TRIALS) {
            return lastCrash().plus(LAST_RETRY_DELAY);
        }
        if (doubtful && failedTrials < DOUBTFUL_TRIALS) {
            return lastCrash().plus(DOUBTFUL_RETRY_DELAY);
        }
        return lastCrash().plus(FIRST_RETRY_DELAY.multipliedBy(1L << failedTrials));
    }

    /**
     * Returns the last crash, whether it counts or not.
     *
     * @return time, {@link Instant#MIN} if there is none
     */
    Instant lastCrash() {
        return crashes.values().stream().max(Instant::compareTo).orElse(Instant.MIN);
    }

    /**
     * Returns all crashes.
     *
     * @return time of each by process
     */
    Map<UpstreamProcess, Instant> crashes() {
        return Map.copyOf(crashes);
    }

    /**
     * Returns whether an answer was ever complete.
     *
     * @return true if this entry or another has seen one
     */
    boolean isAnswered() {
        return answered;
    }

    private CrashLimits limits() {
        return answered ? ANSWERED_PART : UNKNOWN_PART;
    }

    // Returns the first crash that counts against the part.
    private Instant firstCrash() {
        return counted.keySet().stream()
                .map(crashes::get)
                .min(Instant::compareTo)
                .orElse(Instant.MAX);
    }

    // Returns when a crash with a given number, from 1, was, of those that count.
    private Instant crashAt(int number) {
        return counted.keySet().stream()
                .map(crashes::get)
                .sorted()
                .skip(number - 1)
                .findFirst()
                .orElse(Instant.MAX);
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }
}
