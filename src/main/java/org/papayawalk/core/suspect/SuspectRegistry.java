package org.papayawalk.core.suspect;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.papayawalk.core.id.HostId;

/**
 * Counts the upstream crashes that a request took part in, by the fingerprint of the request. One
 * crash makes a suspect, which may run only while no other suspect runs at the same upstream; the
 * second makes it refused. Crashes are counted once, so notices may be repeated. Thread-safe.
 */
public final class SuspectRegistry {
    /** Crashes after which a request is refused. */
    private static final int REFUSAL_LIMIT = 2;

    /** Time for which evidence counts. */
    private static final Duration MEMORY = Duration.ofMinutes(10);

    /** Fingerprints that are remembered at once. */
    private static final int MAX_FINGERPRINTS = 4096;

    /** Evidence by fingerprint. */
    private final Map<String, Evidence> evidence = new HashMap<>();

    /** Verdicts about a request. Immutable. */
    public enum Verdict {
        /** Nothing is known against it. */
        CLEAR,
        /** It was running when one upstream crashed. */
        SUSPECT,
        /** It was running when two or more upstreams crashed. */
        REFUSED
    }

    /**
     * Records a crash.
     *
     * @param fingerprint fingerprint of a request that was running
     * @param host host of the upstream
     * @param incarnation incarnation of the upstream that crashed
     * @param now present time
     * @return true if this crash was not known before
     */
    public synchronized boolean crashed(
            String fingerprint, HostId host, long incarnation, Instant now) {
        evidence.values().removeIf(e -> e.until.isBefore(now));
        if (!evidence.containsKey(fingerprint) && evidence.size() >= MAX_FINGERPRINTS) {
            return false;
        }
        Evidence e = evidence.computeIfAbsent(fingerprint, f -> new Evidence());
        e.until = now.plus(MEMORY);
        return e.crashes.add(host + "/" + incarnation);
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
        if (e == null || e.until.isBefore(now)) {
            return Verdict.CLEAR;
        }
        return e.crashes.size() >= REFUSAL_LIMIT ? Verdict.REFUSED : Verdict.SUSPECT;
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
        return e == null || e.until.isBefore(now) ? Duration.ZERO : Duration.between(now, e.until);
    }

    /** Evidence against one request. Guarded by the registry. */
    private static final class Evidence {
        /** Crashes, each as host and incarnation. */
        private final Set<String> crashes = new HashSet<>();

        /** When the evidence lapses. */
        private Instant until = Instant.MIN;
    }
}
