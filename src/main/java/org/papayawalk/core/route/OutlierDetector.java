package org.papayawalk.core.route;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.papayawalk.core.id.HostId;

/**
 * Detects failing hosts from the results of the entry's own requests, sooner than the host list
 * reflects a failure. A host with several consecutive failures is ejected for a fixed time. After
 * that it is selectable again: the next success clears its failures, and the next failure ejects it
 * again. Thread-safe.
 */
public final class OutlierDetector {
    /** Number of consecutive failures from which a host is ejected. */
    private static final int CONSECUTIVE_FAILURE_LIMIT = 3;

    /** Time after the last failure for which a host is ejected. */
    private static final Duration EJECTION_TIME = Duration.ofSeconds(5);

    private final Map<HostId, HostFailures> failuresByHost = new ConcurrentHashMap<>();

    /**
     * Returns whether a host may be selected for a request.
     *
     * @param host host in question
     * @param now present time
     * @return false while the host is ejected
     */
    public boolean isSelectable(HostId host, Instant now) {
        HostFailures f = failuresByHost.get(host);
        return f == null || f.failures < CONSECUTIVE_FAILURE_LIMIT || !now.isBefore(f.retryAt);
    }

    /**
     * Records a success, which clears the failures of the host.
     *
     * @param host host that responded
     */
    public void recordSuccess(HostId host) {
        failuresByHost.remove(host);
    }

    /**
     * Records a failure.
     *
     * @param host host that failed or did not respond
     * @param now present time
     */
    public void recordFailure(HostId host, Instant now) {
        failuresByHost.compute(
                host,
                (h, f) ->
                        new HostFailures(f == null ? 1 : f.failures + 1, now.plus(EJECTION_TIME)));
    }

    // The host is ejected until retryAt if its consecutive failures reach the limit.
    private record HostFailures(int failures, Instant retryAt) {}
}
