package org.papayawalk.daemon.standalone.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.papayawalk.core.id.HostId;
import org.papayawalk.core.suspect.SuspectRegistry;

/**
 * Keeps requests from reaching further upstreams if upstreams crashed while the same request was
 * running, whatever its idempotency key. A complete answer clears the crashes before it: a request
 * that crashes upstreams crashes each of them. Thread-safe.
 */
final class SuspectGuard {
    /** Reason of a refusal. */
    static final String REASON =
            "poison request: upstreams crashed repeatedly while it was running";

    /** Longest delay for the caller of a poison request, which may be found to be sound by then. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

    /** Bound of the requests whose cleared crashes are held. */
    private static final int MAX_CLEARED = 4096;

    private final SuspectRegistry suspects;

    private final PromptPartGuard promptParts;

    /** Crashed processes that do not count, by fingerprint, oldest first; guarded by itself. */
    private final Map<String, Set<String>> cleared = new LinkedHashMap<>();

    /**
     * Creates a guard.
     *
     * @param suspects crashes by the fingerprints of requests
     * @param promptParts evidence on parts of prompts, which explain crashes of other requests
     */
    SuspectGuard(SuspectRegistry suspects, PromptPartGuard promptParts) {
        this.suspects = suspects;
        this.promptParts = promptParts;
    }

    /**
     * Decides whether a request may be dispatched.
     *
     * @param request request to dispatch
     * @param now present time
     * @return empty if it may be dispatched, otherwise the delay after which its caller may retry
     */
    Optional<Duration> refusal(ParsedRequest request, Instant now) {
        String fingerprint = request.fingerprint();
        if (suspects.verdict(fingerprint, now) != SuspectRegistry.Verdict.REFUSED
                || !mayBeAtFault(request, now)) {
            return Optional.empty();
        }
        Duration left = suspects.retryAfter(fingerprint, now);
        return Optional.of(left.compareTo(MAX_RETRY_AFTER) < 0 ? left : MAX_RETRY_AFTER);
    }

    /**
     * Returns whether a request may run only while no other suspect runs at the same upstream.
     *
     * @param request request to dispatch
     * @param now present time
     * @return true if an upstream crashed while it was running
     */
    boolean isSuspect(ParsedRequest request, Instant now) {
        return !counted(request, now).isEmpty();
    }

    /**
     * Records that an upstream crashed while a request was running. The crash notice sent to all
     * entries may arrive only after the next dispatch.
     *
     * @param request request that was running
     * @param host host of the upstream
     * @param incarnation incarnation of the crashed process
     * @param now present time
     */
    void recordCrash(ParsedRequest request, HostId host, long incarnation, Instant now) {
        suspects.recordCrash(request.fingerprint(), host + "/" + incarnation, now);
    }

    /**
     * Records that an upstream has answered a request completely and lives on.
     *
     * @param request request that was answered
     * @param now present time
     */
    void recordAnswer(ParsedRequest request, Instant now) {
        Set<String> crashed = suspects.crashedProcesses(request.fingerprint(), now);
        if (crashed.isEmpty()) {
            return;
        }
        synchronized (cleared) {
            cleared.put(request.fingerprint(), crashed);
            if (cleared.size() > MAX_CLEARED) {
                cleared.remove(cleared.keySet().iterator().next());
            }
        }
    }

    // A request that runs beside others shares their crashes.
    private boolean mayBeAtFault(ParsedRequest request, Instant now) {
        return promptParts.unexplained(request.promptParts(), counted(request, now), now)
                >= EntryRole.MAX_CRASHES;
    }

    private Set<String> counted(ParsedRequest request, Instant now) {
        Set<String> result = new HashSet<>(suspects.crashedProcesses(request.fingerprint(), now));
        synchronized (cleared) {
            result.removeAll(cleared.getOrDefault(request.fingerprint(), Set.of()));
        }
        return result;
    }
}
