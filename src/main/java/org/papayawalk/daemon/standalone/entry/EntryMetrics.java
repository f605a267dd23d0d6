package org.papayawalk.daemon.standalone.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.papayawalk.core.Outcome;

/** Counters of an entry. Thread-safe. */
public final class EntryMetrics {
    /** Requests by outcome. */
    private final Counter requests;

    /**
     * Registers the counters.
     *
     * @param registry registry of the daemon
     */
    public EntryMetrics(PrometheusRegistry registry) {
        requests =
                Counter.builder()
                        .name("papayawalk_requests_total")
                        .help("Callers' requests by outcome")
                        .labelNames("outcome")
                        .register(registry);
    }

    /**
     * Counts a request.
     *
     * @param outcome what the caller was told
     */
    void outcome(Outcome outcome) {
        requests.labelValues(outcome.label()).inc();
    }
}
