package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects poison requests, that is, requests that crash upstreams. Counts the crashes during which
 * a request was running, by the fingerprint of the request. After one crash the request is a
 * suspect, which may run only while no other suspect runs at the same upstream; at the limit it is
 * refused. Recording a crash is idempotent, so that notices may be sent more than once.
 * Thread-safe.
 */
public final class SuspectRegistry {
    /** Maximum number of fingerprints; crashes of further fingerprints are not recorded. */
    private static final int MAX_FINGERPRINTS = 4096;

    private final int refusalLimit;
    private final Duration retention;
    private final Map<String, Evidence> evidence = new HashMap<>();

    /** Verdict about a request. */
    public enum Verdict {
        /** No recorded crash during this request. */
        CLEAR,
        /** At least one crash, but fewer than the limit. */
        SUSPECT,
        /** As many crashes as the limit, or more. */
        REFUSED
    }

    /**
     * Creates an empty registry.
     *
     * @param refusalLimit number of crashes after which a request is refused
     * @param retention time after the last recorded crash for which evidence is kept
     */
    public SuspectRegistry(int refusalLimit, Duration retention) {
        this.refusalLimit = refusalLimit;
        this.retention = retention;
    }

    /**
     * Records that an upstream process crashed while a request was running. Also extends the
     * retention of the evidence against the request.
     *
     * @param fingerprint fingerprint of the request
     * @param process id of the crashed process, such as its host and incarnation
     * @param now present time
     * @return true if this crash was not recorded before; false also if the registry is full
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
     * Returns the verdict about a request by the crashes recorded in this daemon.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return verdict
     */
    public synchronized Verdict verdict(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        if (e == null || e.expiresAt.isBefore(now)) {
            return Verdict.CLEAR;
        }
        return e.processes.size() >= refusalLimit ? Verdict.REFUSED : Verdict.SUSPECT;
    }

    /**
     * Returns the delay after which a refused request may be retried.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return time until the evidence expires, zero if there is none
     */
    public synchronized Duration retryAfter(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        return e == null || e.expiresAt.isBefore(now)
                ? Duration.ZERO
                : Duration.between(now, e.expiresAt);
    }

    /**
     * Returns a copy of the evidence, for other daemons.
     *
     * @param now present time
     * @return ids of the crashed processes by fingerprint, without expired evidence
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
     * Returns the processes that crashed while a request was running.
     *
     * @param fingerprint fingerprint of the request
     * @param now present time
     * @return ids of the processes, empty if there is no evidence or it has expired
     */
    public synchronized Set<String> crashedProcesses(String fingerprint, Instant now) {
        Evidence e = evidence.get(fingerprint);
        return e == null || e.expiresAt.isBefore(now) ? Set.of() : Set.copyOf(e.processes);
    }

    /** Evidence against one request. Guarded by the registry. */
    private static final class Evidence {
        /** Crashed processes, each as host and incarnation. */
        private final Set<String> processes = new HashSet<>();

        private Instant expiresAt = Instant.MIN;
    }
}
