package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    private final Map<UpstreamProcess, Instant> crashes = new HashMap<>();

    /** Last complete answer; {@link Instant#MIN} if none is known. */
    private Instant answeredAt = Instant.MIN;

    /** Records a crash; returns false if it is known. */
    boolean recordCrash(UpstreamProcess process, Instant at) {
        return crashes.putIfAbsent(process, at) == null;
    }

    void recordAnswer(Instant at) {
        if (at.isAfter(answeredAt)) {
            answeredAt = at;
        }
    }

    /** Returns the processes whose crash counts against the part. */
    Set<UpstreamProcess> processes() {
        Set<UpstreamProcess> counted = new HashSet<>();
        crashes.forEach(
                (p, at) -> {
                    if (at.isAfter(answeredAt)) {
                        counted.add(p);
                    }
                });
        return counted;
    }

    boolean isSuspected(Instant now) {
        return limits().suspects(processes().size(), firstCrash(), now);
    }

    boolean isRefused(Instant now) {
        return limits().refuses(processes().size(), firstCrash(), now);
    }

    /** Returns when the part, if refused, is tried again. */
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

    Instant lastCrash() {
        return crashes.values().stream().max(Instant::compareTo).orElse(Instant.MIN);
    }

    Map<UpstreamProcess, Instant> crashes() {
        return Map.copyOf(crashes);
    }

    Optional<Instant> answeredAt() {
        return answeredAt.equals(Instant.MIN) ? Optional.empty() : Optional.of(answeredAt);
    }

    private CrashLimits limits() {
        return answeredAt.equals(Instant.MIN) ? UNKNOWN_PART : ANSWERED_PART;
    }

    // Returns the first crash that counts against the part.
    private Instant firstCrash() {
        return crashes.values().stream()
                .filter(t -> t.isAfter(answeredAt))
                .min(Instant::compareTo)
                .orElse(Instant.MAX);
    }
}
