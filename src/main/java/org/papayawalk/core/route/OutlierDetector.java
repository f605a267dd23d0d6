package org.papayawalk.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.papayawalk.core.id.HostId;

/**
 * Finds hosts that fail or stay silent by the entry's own traffic, ahead of the host list. A host
 * that failed several times in a row is left out for a while; then one request at a time probes it.
 * Thread-safe.
 */
public final class OutlierDetector {
    /** Failures in a row after which a host is left out. */
    private static final int CONSECUTIVE_FAILURE_LIMIT = 3;

    /** Time for which a host is left out. */
    private static final Duration EJECTION_TIME = Duration.ofSeconds(5);

    /** Conduct by host. */
    private final Map<HostId, HostFailures> failuresByHost = new ConcurrentHashMap<>();

    /**
     * Tells whether a host may be sent a request.
     *
     * @param host host to judge
     * @param now present time
     * @return false while the host is left out
     */
    public boolean isSelectable(HostId host, Instant now) {
        HostFailures c = failuresByHost.get(host);
        return c == null || c.failures < CONSECUTIVE_FAILURE_LIMIT || !now.isBefore(c.retryAt);
    }

    /**
     * Records an answer.
     *
     * @param host host that answered
     */
    public void recordSuccess(HostId host) {
        failuresByHost.remove(host);
    }

    /**
     * Records a failure.
     *
     * @param host host that failed or stayed silent
     * @param now present time
     */
    public void recordFailure(HostId host, Instant now) {
        failuresByHost.compute(
                host,
                (h, c) ->
                        new HostFailures(c == null ? 1 : c.failures + 1, now.plus(EJECTION_TIME)));
    }

    /**
     * Conduct of a host. Immutable.
     *
     * @param failures failures in a row
     * @param retryAt time at which the next probe may be sent
     */
    private record HostFailures(int failures, Instant retryAt) {}
}
