package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the upstream crashes that a request took part in, by the fingerprint of the request. One
 * crash makes a suspect, which may run only while no other suspect runs at the same upstream;
 * further ones make it refused. Crashes are counted once, so notices may be repeated. Thread-safe.
 */
public final class SuspectRegistry {
    /** Fingerprints that are remembered at once. */
    private static final int MAX_FINGERPRINTS = 4096;

    /** Crashes after which a request is refused. */
    private final int refusalLimit;

    /** Time for which evidence counts. */
    private final Duration retention;

    /** Evidence by fingerprint. */
    private final Map<String, Evidence> evidence = new HashMap<>();

    /** Verdicts about a request. Immutable. */
    public enum Verdict {
        /** Nothing is known against it. */
        CLEAR,
        /** It was running when one upstream crashed. */
        SUSPECT,
        /** It was running at as many crashes as the limit, or more. */
        REFUSED
    }

    /**
     * Creates a registry without evidence.
     *
     * @param refusalLimit crashes after which a request is refused
     * @param memory time for which evidence counts
     */
    public SuspectRegistry(int refusalLimit, Duration memory) {
        this.refusalLimit = refusalLimit;
        this.retention = memory;
    }

    /**
     * Records a crash.
     *
     * @param fingerprint fingerprint of a request that was running
     * @param process upstream process that crashed, such as its name and start
     * @param now present time
     * @return true if this crash was not known before
     */
    public synchronized boolean recordCrash(String fingerprint, String process, Instant now) {
        evidence.values().removeIf(e -> e.expiresAt.isBefore(now));
        if (!evidence.containsKey(fingerprint) && evidence.size() >= MAX_FINGERPRINTS) {
            return false;
        }
        Evidence e = evidence.computeIfAbsent(fingerprint, f -> new Evidence());
        e.expiresAt = now.plus(retention);
        return e.processes.add(process);
    }

    /**
     * Returns the verdict about a request.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return verdict by the crashes known here
     */
    public synchronized Verdict verdict(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        if (e == null || e.expiresAt.isBefore(now)) {
            return Verdict.CLEAR;
        }
        return e.processes.size() >= refusalLimit ? Verdict.REFUSED : Verdict.SUSPECT;
    }

    /**
     * Returns when a refused request may be sent again.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return time until the evidence lapses, zero if there is none
     */
    public synchronized Duration retryAfter(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        return e == null || e.expiresAt.isBefore(now)
                ? Duration.ZERO
                : Duration.between(now, e.expiresAt);
    }

    /**
     * Returns the evidence for other daemons.
     *
     * @param now present time
     * @return processes that crashed, by fingerprint
     */
    public synchronized Map<String, Set<String>> evidence(Instant now) {
        Map<String, Set<String>> copy = new HashMap<>();
        evidence.forEach(
                (f, e) -> {
                    if (!e.expiresAt.isBefore(now)) {
                        copy.put(f, Set.copyOf(e.processes));
                    }
                });
        return copy;
    }

    /**
     * Returns the processes that crashed under a request.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return names of processes
     */
    public synchronized Set<String> crashedProcesses(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        return e == null || e.expiresAt.isBefore(now) ? Set.of() : Set.copyOf(e.processes);
    }

    /** Evidence against one request. Guarded by the registry. */
    private static final class Evidence {
        /** Crashes, each as host and incarnation. */
        private final Set<String> processes = new HashSet<>();

        /** When the evidence lapses. */
        private Instant expiresAt = Instant.MIN;
    }
}
