package org.papayawalk.daemon.standalone.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.papayawalk.core.id.HostId;

/**
 * Estimates the load of agents: this entry's own requests as of now, and the others' as of the
 * agent's last report. Thread-safe.
 */
final class AgentLoadTracker {
    /** Estimates by host. */
    private final Map<HostId, Estimate> estimates = new ConcurrentHashMap<>();

    /**
     * Notes a request that was sent.
     *
     * @param host host of the agent
     */
    void sent(HostId host) {
        estimate(host).own.incrementAndGet();
    }

    /**
     * Notes the end of a request.
     *
     * @param host host of the agent
     */
    void ended(HostId host) {
        estimate(host).own.decrementAndGet();
    }

    /**
     * Takes the load that an agent reported.
     *
     * @param host host of the agent
     * @param load requests that run or wait there
     */
    void reported(HostId host, int load) {
        Estimate e = estimate(host);
        e.others = Math.max(0, load - e.own.get());
    }

    /**
     * Returns the estimated load.
     *
     * @param host host of the agent
     * @return requests that run or wait there
     */
    int load(HostId host) {
        Estimate e = estimate(host);
        return Math.max(0, e.own.get()) + e.others;
    }

    /**
     * Returns the estimate of a host.
     *
     * @param host host of the agent
     * @return estimate, new if the host was unknown
     */
    private Estimate estimate(HostId host) {
        return estimates.computeIfAbsent(host, h -> new Estimate());
    }

    /** Estimate of one host. Thread-safe. */
    private static final class Estimate {
        /** Requests of this entry. */
        private final AtomicInteger own = new AtomicInteger();

        /** Requests of others. */
        private volatile int others;
    }
}
