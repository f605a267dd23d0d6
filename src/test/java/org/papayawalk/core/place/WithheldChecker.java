package org.papayawalk.core.place;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.papayawalk.core.id.UpstreamProcess;

/**
 * Checks the requests of one entry against what upstreams have stated to it. A restart or a freeze
 * of the entry excuses both rules, a cut only the second. Not thread-safe.
 */
final class WithheldChecker {
    /** Time after a statement of leaving in which new requests of callers may still arrive. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(500);

    /** Time after a refusal in which requests may still arrive, longer than a round trip. */
    private static final Duration REFUSAL_GRACE = Duration.ofMillis(500);

    /** Requests that may arrive later in the time of a refusal. */
    private static final int ALLOWED_REQUESTS = 2;

    private final List<String> violations;

    private final Map<UpstreamProcess, Instant> leftAt = new HashMap<>();

    private final Map<UpstreamProcess, List<Refusal>> refusals = new HashMap<>();

    // End of the last restart or freeze.
    private Instant stoppedUntil = Instant.EPOCH;

    // End of the last cut.
    private Instant cutUntil = Instant.EPOCH;

    /**
     * Creates a checker.
     *
     * @param violations receives descriptions of requests that should not have arrived
     */
    WithheldChecker(List<String> violations) {
        this.violations = violations;
    }

    /**
     * Records a restart or a freeze of the entry.
     *
     * @param until when it ends
     */
    void stopped(Instant until) {
        stoppedUntil = until;
    }

    /**
     * Records that the entry is cut off.
     *
     * @param until when it ends
     */
    void cut(Instant until) {
        cutUntil = until;
    }

    /**
     * Records that the entry has an answer which states that its upstream leaves.
     *
     * @param process upstream process
     * @param now present time
     */
    void left(UpstreamProcess process, Instant now) {
        leftAt.putIfAbsent(process, now);
    }

    /**
     * Records that an upstream refuses a request of the entry.
     *
     * @param process upstream process
     * @param delay time for which it wants no other
     * @param now present time
     */
    void refused(UpstreamProcess process, Duration delay, Instant now) {
        refusals.computeIfAbsent(process, p -> new ArrayList<>()).add(new Refusal(now, delay));
    }

    /**
     * Checks a request that arrives.
     *
     * @param process upstream process that gets it
     * @param sentAt when the caller sent it
     * @param now present time
     */
    void arrived(UpstreamProcess process, Instant sentAt, Instant now) {
        Instant toldAt = leftAt.getOrDefault(process, now);
        if (sentAt.isAfter(toldAt.plus(DRAIN_TIME)) && !stoppedUntil.isAfter(toldAt)) {
            violations.add(now + ": " + process + " left at " + toldAt);
        }
        for (Refusal r : refusals.getOrDefault(process, List.of())) {
            boolean excused = stoppedUntil.isAfter(r.statedAt) || cutUntil.isAfter(r.statedAt);
            if (r.covers(now) && !excused && ++r.arrivals > ALLOWED_REQUESTS) {
                violations.add(now + ": " + process + " refused at " + r.statedAt);
            }
        }
    }

    /** Refusal with a delay, as an upstream stated it. */
    private static final class Refusal {
        private final Instant statedAt;

        private final Duration delay;

        private int arrivals;

        private Refusal(Instant statedAt, Duration delay) {
            this.statedAt = statedAt;
            this.delay = delay;
        }

        private boolean covers(Instant time) {
            return !time.isBefore(statedAt.plus(REFUSAL_GRACE))
                    && time.isBefore(statedAt.plus(delay));
        }
    }
}
