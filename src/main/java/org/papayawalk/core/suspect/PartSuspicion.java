package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
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
    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(20);

    /** Crashes further apart than this belong to different trials of a refused part. */
    private static final Duration TRIAL_GAP = Duration.ofSeconds(10);

    private static final int MAX_DOUBLINGS = 6;

    /** Last crash of each process, also of those that do not count. */
    private final Map<UpstreamProcess, Instant> crashes = new HashMap<>();

    /** Processes whose crash does not count, as an answer was complete after it. */
    private final Set<UpstreamProcess> cleared = new HashSet<>();

    /** Processes whose crash counts against the part. */
    private final Set<UpstreamProcess> counted = new HashSet<>();

    /** Whether an answer was ever complete. */
    private boolean answered;

    /** Last complete answer that this entry has seen; {@link Instant#MIN} if none. */
    private Instant answeredAt = Instant.MIN;

    /**
     * Records a crash unless it is known.
     *
     * @param process crashed process
     * @param at when it crashed
     */
    void recordCrash(UpstreamProcess process, Instant at) {
        if (crashes.putIfAbsent(process, at) == null && !cleared.contains(process)) {
            if (at.isAfter(answeredAt)) {
                counted.add(process);
            } else {
                cleared.add(process);
            }
        }
    }

    /**
     * Records a complete answer that this entry has seen.
     *
     * @param at when it was complete
     */
    void recordAnswer(Instant at) {
        answered = true;
        if (at.isAfter(answeredAt)) {
            answeredAt = at;
        }
        Set<UpstreamProcess> before = new HashSet<>(counted);
        before.removeIf(p -> crashes.get(p).isAfter(answeredAt));
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
        counted.removeAll(processes);
    }

    /**
     * Returns the processes whose crash counts against the part.
     *
     * @return processes, to be read only
     */
    Set<UpstreamProcess> processes() {
        return counted;
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
     * Returns when the part, if refused, is tried again.
     *
     * @return time after the last crash that grows with the number of trials
     */
    Instant retryAt() {
        List<Instant> times = crashes.values().stream().sorted().toList();
        int trials = 0;
        for (int i = 1; i < times.size(); i++) {
            if (times.get(i - 1).plus(TRIAL_GAP).isBefore(times.get(i))) {
                trials++;
            }
        }
        return lastCrash()
                .plus(FIRST_RETRY_DELAY.multipliedBy(1L << Math.min(trials, MAX_DOUBLINGS)));
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
        return counted.stream().map(crashes::get).min(Instant::compareTo).orElse(Instant.MAX);
    }
}
