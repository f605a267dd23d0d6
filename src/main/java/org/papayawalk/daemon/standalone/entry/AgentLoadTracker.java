package org.papayawalk.daemon.standalone.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.id.HostId;

/**
 * Estimates the load of each agent as the sum of this entry's own requests in flight, which are
 * always current, and of all other requests as of the agent's last load report. Thread-safe.
 */
final class AgentLoadTracker {
    private final Map<HostId, Estimate> estimates = new ConcurrentHashMap<>();

    /**
     * Counts a request dispatched by this entry as in flight.
     *
     * @param host host of the agent
     */
    void recordDispatch(HostId host) {
        estimate(host).ownRequests.incrementAndGet();
    }

    /**
     * Counts a request dispatched by this entry as finished.
     *
     * @param host host of the agent
     */
    void recordEnd(HostId host) {
        estimate(host).ownRequests.decrementAndGet();
    }

    /**
     * Records the load from an agent's report, which includes this entry's own requests.
     *
     * @param host host of the agent
     * @param load running and queued requests at the agent
     */
    void recordReport(HostId host, int load) {
        Estimate e = estimate(host);
        e.otherRequests = Math.max(0, load - e.ownRequests.get());
    }

    /**
     * Returns the estimated load of an agent.
     *
     * @param host host of the agent
     * @return running and queued requests; 0 for an agent without requests or reports
     */
    int load(HostId host) {
        Estimate e = estimate(host);
        return Math.max(0, e.ownRequests.get()) + e.otherRequests;
    }

    private Estimate estimate(HostId host) {
        return estimates.computeIfAbsent(host, h -> new Estimate());
    }

    private static final class Estimate {
        private final AtomicInteger ownRequests = new AtomicInteger();
        private volatile int otherRequests;
    }
}
